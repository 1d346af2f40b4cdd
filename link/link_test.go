package link

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/geraniumdock/geraniumdock/identity"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newEndpoint(t *testing.T, a *identity.Authority, name string) *Endpoint {
	t.Helper()
	id, err := a.Identity(name)
	if err != nil {
		t.Fatal(err)
	}
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e, err := Listen(socket, id)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { e.Close() })
	return e
}

func newAuthority(t *testing.T) *identity.Authority {
	t.Helper()
	a, err := identity.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func TestSendAndReceive(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	one, two := newEndpoint(t, a, "one"), newEndpoint(t, a, "two")
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		two.Serve(ctx, func(c *Conn) {
			defer c.Close()
			is.Equal(c.Peer(), "one")
			for {
				data, err := c.Receive()
				if err != nil || c.Send(data) != nil {
					return
				}
			}
		})
	}()
	c, err := one.Dial(ctx, two.transport.Conn.LocalAddr().String(), NodeKeepAlive)
	is.NoErr(err)
	is.Equal(c.Peer(), "two")
	for _, n := range []int{0, 1, 100_000} {
		is.NoErr(c.Send(make([]byte, n)))
		back, err := c.Receive()
		is.NoErr(err)
		is.Equal(len(back), n)
	}
	is.True(one.Traffic().Sent > 100_000)
	is.True(c.Send(make([]byte, MaxMessageBytes+1)) != nil)
	c.Close()
	cancel()
	<-served
}

func TestUntrustedCertificateIsRejected(t *testing.T) {
	is := is.New(t)
	one, untrusted := newEndpoint(t, newAuthority(t), "one"), newEndpoint(t, newAuthority(t), "one")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	served := make(chan struct{})
	go func() {
		defer close(served)
		one.Serve(ctx, func(*Conn) { t.Error("accepted a link with a certificate of another authority") })
	}()
	_, err := untrusted.Dial(ctx, one.transport.Conn.LocalAddr().String(), NodeKeepAlive)
	is.True(err != nil)
	cancel()
	<-served
}
