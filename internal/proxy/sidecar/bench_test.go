package sidecar_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

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
		b.Run(name, func(b *testing.B) { sendRequests(b, address) })
	}
}

// sendRequests sends requests sequentially on one connection.
func sendRequests(b *testing.B, address string) {
	d := net.Dialer{}
	conn, err := d.DialContext(context.Background(), "tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	br := bufio.NewReader(conn)
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		h := http.Header{}
		platform.SetRequestID(h, fmt.Sprint("b-", b.N, "-", n))
		fmt.Fprintf(conn, "GET /reads/1 HTTP/1.1\r\nHost: %s\r\n", fleet.Host)
		if err := h.Write(conn); err != nil {
			b.Fatal(err)
		}
		fmt.Fprint(conn, "\r\n")
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil || res.StatusCode != http.StatusOK {
			b.Fatal(res.StatusCode, err)
		}
	}
}
