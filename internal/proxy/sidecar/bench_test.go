package sidecar_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sys/unix"

	"github.com/geraniumdock/geraniumdock/internal/standin/fleet"
	"github.com/geraniumdock/geraniumdock/platform"
)

// BenchmarkHop measures a request that passes two nodes, one node or none on its
// way to the server. The result includes the processor time of the client, the
// nodes and the server.
func BenchmarkHop(b *testing.B) {
	nodes := []fleet.NodeSpec{{DataCentre: "dc-0", Service: "other"}, {DataCentre: "dc-0", Service: "shop"}}
	f, err := fleet.Start(fleet.Spec{Nodes: nodes, Routes: routes, Slots: 8, RepeatSlack: 1000})
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	for name, address := range map[string]string{
		"two nodes": f.VMs[0].Sidecar.Address("clients"), "one node": f.VMs[1].Sidecar.Address("clients"), "server": f.VMs[1].Server.Address(),
	} {
		b.Run(name, func(b *testing.B) { dialClient(b, address).measure(b, http.StatusOK) })
	}
}

// BenchmarkRefusal measures a request that every node refuses: the servers have reached their
// limits, so it is offered to 8 nodes and then refused by the queue of one. The result includes
// the processor time of the client and of all nodes.
func BenchmarkRefusal(b *testing.B) {
	nodes := []fleet.NodeSpec{{DataCentre: "dc-0", Service: "other"}}
	for range 8 {
		nodes = append(nodes, fleet.NodeSpec{DataCentre: "dc-0", Service: "shop"})
	}
	log := hclog.New(&hclog.LoggerOptions{Name: "node", JSONFormat: true, Output: io.Discard})
	f, err := fleet.Start(fleet.Spec{Nodes: nodes, Routes: routes, Slots: 8, RepeatSlack: 1000, Log: log})
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	for _, vm := range f.VMs[1:] {
		vm.Server.SetLimit(0.001)
	}
	c := dialClient(b, f.VMs[0].Sidecar.Address("clients"))
	for range 200 { // the nodes learn the limits from responses
		c.send(b)
	}
	c.measure(b, http.StatusServiceUnavailable)
}

// client sends requests sequentially on one connection.
type client struct {
	conn net.Conn
	br   *bufio.Reader
	sent int
}

func dialClient(b *testing.B, address string) *client {
	d := net.Dialer{}
	conn, err := d.DialContext(context.Background(), "tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { conn.Close() })
	return &client{conn: conn, br: bufio.NewReader(conn)}
}

// measure sends the requests of a benchmark. All responses but a few, by servers that have not
// stated their limits yet, must have the given status. It reports the processor time of the process
// too, which depends less on other load of the machine.
func (c *client) measure(b *testing.B, status int) {
	b.ReportAllocs()
	began := processorTime(b)
	others := 0
	for b.Loop() {
		if c.send(b) != status {
			others++
		}
	}
	if others > 8 {
		b.Fatal(others, "responses with other statuses")
	}
	b.ReportMetric(float64(processorTime(b)-began)/float64(time.Microsecond)/float64(b.N), "cpu-us/op")
}

// send sends one request and returns the status of the response.
func (c *client) send(b *testing.B) int {
	c.sent++
	h := http.Header{}
	platform.SetRequestID(h, fmt.Sprint("b-", b.N, "-", c.sent))
	fmt.Fprintf(c.conn, "GET /reads/1 HTTP/1.1\r\nHost: %s\r\n", fleet.Host)
	if err := h.Write(c.conn); err != nil {
		b.Fatal(err)
	}
	fmt.Fprint(c.conn, "\r\n")
	res, err := http.ReadResponse(c.br, nil)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		b.Fatal(err)
	}
	return res.StatusCode
}

// processorTime returns the processor time that the process has used.
func processorTime(b *testing.B) time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
