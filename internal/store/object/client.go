package object

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
)

// Limits of the calls to the platform.
const (
	callTimeout        = 2 * time.Second
	firstBackoff       = 50 * time.Millisecond
	maxBackoff         = 2 * time.Second
	readAttempts       = 4               // including the first
	burstCalls         = 40              // calls above the rate, after a time without calls
	watchTimeoutMargin = 2 * time.Second // added to the wait of a watch
)

// Client is a Store that wraps another one. It limits the duration of each call and
// the rate of calls, and retries reads with jittered exponential backoff. It never
// retries a write: after a lost response, code that uses the Client must read the
// object to learn the outcome.
type Client struct {
	store   gd.Store
	clock   gd.Clock
	limiter tokenBucket

	mu  sync.Mutex
	rnd *rand.Rand
}

// NewClient returns a client of store that makes at most perSecond calls per second
// on average. The seed is for the jitter of the backoff.
func NewClient(store gd.Store, clk gd.Clock, perSecond float64, seed uint64) *Client {
	return &Client{
		store:   store,
		clock:   clk,
		limiter: tokenBucket{perSecond: perSecond, tokens: burstCalls},
		rnd:     rand.New(rand.NewPCG(seed, 0)),
	}
}

// Get reads the object at key, with retries.
func (c *Client) Get(ctx context.Context, key string) (gd.Object, error) {
	var o gd.Object
	err := c.retryRead(ctx, func(ctx context.Context) (err error) {
		o, err = c.store.Get(ctx, key)
		return err
	})
	return o, err
}

// List reads the objects whose keys begin with prefix, with retries.
func (c *Client) List(ctx context.Context, prefix string) ([]gd.Object, error) {
	var list []gd.Object
	err := c.retryRead(ctx, func(ctx context.Context) (err error) {
		list, err = c.store.List(ctx, prefix)
		return err
	})
	return list, err
}

// Put writes the object in a single attempt.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifRevision gd.Revision) (gd.Object, error) {
	if err := c.takeToken(); err != nil {
		return gd.Object{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.store.Put(ctx, key, value, ifRevision)
}

// Delete removes the object in a single attempt.
func (c *Client) Delete(ctx context.Context, key string, ifRevision gd.Revision) error {
	if err := c.takeToken(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.store.Delete(ctx, key, ifRevision)
}

// Watch waits for a change of the object in a single attempt.
func (c *Client) Watch(ctx context.Context, key string, after gd.Revision, wait time.Duration) (gd.Object, error) {
	if err := c.takeToken(); err != nil {
		return gd.Object{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchTimeoutMargin)
	defer cancel()
	return c.store.Watch(ctx, key, after, wait)
}

func (c *Client) retryRead(ctx context.Context, call func(context.Context) error) error {
	backoff := firstBackoff
	var err error
	for range readAttempts {
		if err = c.takeToken(); err == nil {
			err = c.callOnce(ctx, call)
		}
		if !gd.Unavailable.Is(err) {
			return err
		}
		if !c.sleep(ctx, c.jitter(backoff)) {
			return err
		}
		backoff = min(2*backoff, maxBackoff)
	}
	return err
}

func (c *Client) callOnce(ctx context.Context, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return call(ctx)
}

func (c *Client) takeToken() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.limiter.allow(c.clock.Monotonic()) {
		return gd.Unavailable.Errorf("rate limit for calls to the platform exceeded")
	}
	return nil
}

func (c *Client) jitter(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return d/2 + time.Duration(c.rnd.Int64N(int64(d)))
}

func (c *Client) sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// tokenBucket limits a rate of calls. It holds up to burstCalls tokens.
type tokenBucket struct {
	perSecond  float64
	tokens     float64
	lastRefill time.Duration
}

func (b *tokenBucket) allow(now time.Duration) bool {
	b.tokens = min(b.tokens+b.perSecond*(now-b.lastRefill).Seconds(), burstCalls)
	b.lastRefill = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
