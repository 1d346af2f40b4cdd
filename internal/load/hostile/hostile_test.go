package hostile

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdock/geraniumdock/platform"
)

const (
	maxBodyBytes = 4 << 20 // limit of the policy
	largeBody    = 3 << 20 // of legal size
	// smallChunksBody is smaller than largeBody, as one-byte chunks cost much processor time. It is
	// larger than what a node buffers of one body.
	smallChunksBody = 1280 << 10
	// finishEvery is the interval of the clients that send the whole body.
	finishEvery = 8
	// sendTimeout ends the sending of a client whose node reads no more.
	sendTimeout = 10 * time.Second
)

// crowd is a number of clients that send the same kind of body.
type crowd struct {
	clients   int
	service   string
	body      int           // bytes of the body
	announced int           // in Content-Length, 0 for a chunked body
	chunk     int           // bytes of a chunk, of a chunked body
	piece     int           // bytes of each write, 0 for all at once
	pause     time.Duration // between two writes
}

// TestHostileClients has crowds of clients send bodies, most of which stop just short of
// their end and stay open. The processes must live within their memory and descriptors, and serve
// an ordinary request while the connections of the crowd are still open.
func TestHostileClients(t *testing.T) {
	program := build(t)
	for _, c := range []struct {
		name string
		crowd
	}{
		{"whole", crowd{clients: 96, service: "near", body: largeBody, announced: largeBody}},
		{"whole/far", crowd{clients: 96, service: "far", body: largeBody, announced: largeBody}},
		{"in pieces", crowd{clients: 96, service: "near", body: largeBody, announced: largeBody, piece: 32 << 10, pause: time.Millisecond}},
		{"in pieces/far", crowd{clients: 96, service: "far", body: largeBody, announced: largeBody, piece: 32 << 10, pause: time.Millisecond}},
		{"large chunks", crowd{clients: 96, service: "near", body: largeBody, chunk: 16 << 10}},
		{"large chunks/far", crowd{clients: 96, service: "far", body: largeBody, chunk: 16 << 10}},
		{"chunks of one byte", crowd{clients: 32, service: "near", body: smallChunksBody, chunk: 1, piece: 32 << 10}},
		{"chunks of one byte/far", crowd{clients: 32, service: "far", body: smallChunksBody, chunk: 1, piece: 32 << 10}},
		{"announced over the limit", crowd{clients: 96, service: "far", body: 2 * maxBodyBytes, announced: 1 << 30}},
		{"chunks over the limit", crowd{clients: 96, service: "far", body: 2 * maxBodyBytes, chunk: 64 << 10}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := startFleet(t, program, maxBodyBytes, 0)
			closeAll := c.send(t, f.nodes[0].clients)
			defer closeAll()
			f.checkServes(t, "near")
			f.checkServes(t, "far")
			f.checkProcesses(t, c.clients)
		})
	}
}

// TestConnectionsBeyondDescriptors opens more connections than the process has descriptors.
// It must keep enough of them for an ordinary request, its server and the other node.
func TestConnectionsBeyondDescriptors(t *testing.T) {
	const maxFiles, clients = 256, 400
	f := startFleet(t, build(t), maxBodyBytes, maxFiles)
	for range clients {
		nc, err := net.Dial("tcp", f.nodes[0].clients)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
	}
	f.checkServes(t, "near")
	f.checkServes(t, "far")
	f.checkProcesses(t, maxFiles-maxOwnDescriptors)
}

// TestLargestBodyIsServed sends single bodies of the largest size, which the bounds against
// hostile clients must not refuse.
func TestLargestBodyIsServed(t *testing.T) {
	const largest = 64 << 20
	f := startFleet(t, build(t), largest, 0)
	for _, service := range []string{"near", "far"} {
		for name, in := range map[string]io.Reader{
			"with a length": bytes.NewReader(make([]byte, largest)),
			"in chunks":     io.LimitReader(zeros{}, largest),
		} {
			t.Run(service+" "+name, func(t *testing.T) {
				is := is.New(t)
				req, err := http.NewRequest(http.MethodPost, "http://"+f.nodes[0].clients+"/"+service+"/1", in)
				is.NoErr(err)
				req.Host = host
				platform.SetRequestID(req.Header, service+name)
				res, err := http.DefaultClient.Do(req)
				is.NoErr(err)
				res.Body.Close()
				is.Equal(res.StatusCode, http.StatusOK)
			})
		}
	}
	f.checkProcesses(t, 0)
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// build compiles the program of the node and returns its path.
func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "sidecar")
	out, err := exec.Command("go", "build", "-o", program, "../../../cmd/sidecar").CombinedOutput()
	if err != nil {
		t.Fatalf("go build: %v: %s", err, out)
	}
	return program
}

// send opens the connections of the crowd and sends its bodies. It returns when no client sends
// any more, with a function that closes the connections.
func (c crowd) send(t *testing.T, address string) (closeAll func()) {
	t.Helper()
	var sending sync.WaitGroup
	var conns []net.Conn
	for i := range c.clients {
		nc, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, nc)
		sending.Go(func() {
			_ = nc.SetWriteDeadline(time.Now().Add(sendTimeout))
			_ = c.sendRequest(nc, i) // the node may close the connection
		})
	}
	sending.Wait()
	return func() {
		for _, nc := range conns {
			nc.Close()
		}
	}
}

// sendRequest sends the request of the client with the given index.
func (c crowd) sendRequest(nc net.Conn, index int) error {
	h := http.Header{}
	platform.SetRequestID(h, fmt.Sprint("hostile-", index))
	platform.SetDeadline(h, routeTimeout)
	framing := "Transfer-Encoding: chunked"
	if c.announced > 0 {
		framing = fmt.Sprint("Content-Length: ", c.announced)
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "POST /%s/1 HTTP/1.1\r\nHost: %s\r\n%s\r\n", c.service, host, framing)
	_ = h.Write(&head) // never fails
	head.WriteString("\r\n")
	if _, err := nc.Write(head.Bytes()); err != nil {
		return err
	}
	unit, count, end := strings.Repeat("b", largeBody/48), c.body*48/largeBody, ""
	if c.announced == 0 {
		unit, count, end = fmt.Sprintf("%x\r\n%s\r\n", c.chunk, strings.Repeat("b", c.chunk)), c.body/c.chunk, "0\r\n\r\n"
	}
	if index%finishEvery > 0 { // without the last bytes
		count, end = count-1, unit[:len(unit)-3]
	}
	units := strings.Repeat(unit, max(1, c.piece/len(unit)))
	for sent := 0; sent < count*len(unit); sent += len(units) {
		if _, err := io.WriteString(nc, units[:min(len(units), count*len(unit)-sent)]); err != nil {
			return err
		}
		time.Sleep(c.pause)
	}
	_, err := io.WriteString(nc, end)
	return err
}
