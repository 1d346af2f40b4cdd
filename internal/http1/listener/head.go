package listener

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"

	gd "github.com/geraniumdock/geraniumdock"
)

var headEnd = []byte("\r\n\r\n")

// readRequest reads a request whose head has at most limit bytes. It returns errors
// of kind Malformed or TooLarge, and errors of the connection unchanged.
func readRequest(br *bufio.Reader, limit int) (*http.Request, error) {
	head, err := peekHead(br, limit)
	if err != nil {
		return nil, err
	}
	if err := checkHead(head); err != nil {
		return nil, err
	}
	req, err := http.ReadRequest(br)
	if err != nil {
		return nil, gd.Malformed.Wrapf(err, "request")
	}
	return req, checkFields(req)
}

// peekHead returns the request line and header fields, up to and including the empty
// line that ends them, without consuming them.
func peekHead(br *bufio.Reader, limit int) ([]byte, error) {
	if err := skipEmptyLines(br); err != nil {
		return nil, err
	}
	scanned := 0
	for {
		if _, err := br.Peek(scanned + 1); err != nil {
			if scanned > 0 && err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		buffered, err := br.Peek(br.Buffered())
		if err != nil {
			return nil, err
		}
		if i := bytes.Index(buffered, headEnd); i >= 0 && i+len(headEnd) <= limit {
			return buffered[:i+len(headEnd)], nil
		}
		if scanned = len(buffered); scanned >= limit {
			return nil, gd.TooLarge.Errorf("request line and header fields exceed %d bytes", limit)
		}
	}
}

// skipEmptyLines discards line breaks before a request. Some clients send them after
// a body.
func skipEmptyLines(br *bufio.Reader) error {
	for {
		b, err := br.Peek(1)
		if err != nil || b[0] != '\r' && b[0] != '\n' {
			return err
		}
		if _, err := br.Discard(1); err != nil {
			return err
		}
	}
}

// checkHead rejects request heads that parsers could interpret differently, which
// would allow request smuggling.
func checkHead(head []byte) error {
	contentLengths, transferEncodings := 0, 0
	for i, line := range strings.Split(strings.TrimSuffix(string(head), string(headEnd)), "\r\n") {
		name, _, _ := strings.Cut(line, ":")
		switch {
		case strings.ContainsAny(line, "\r\n\x00"):
			return gd.Malformed.Errorf("header line does not end with CR LF")
		case i == 0:
		case line[0] == ' ' || line[0] == '\t':
			return gd.Malformed.Errorf("header field is folded across lines")
		case strings.EqualFold(name, "Content-Length"):
			contentLengths++
		case strings.EqualFold(name, "Transfer-Encoding"):
			transferEncodings++
		}
	}
	if contentLengths > 1 || transferEncodings > 1 || contentLengths+transferEncodings > 1 {
		return gd.Malformed.Errorf("more than one Content-Length or Transfer-Encoding field")
	}
	return nil
}

func checkFields(req *http.Request) error {
	if req.Host == "" && req.ProtoAtLeast(1, 1) {
		return gd.Malformed.Errorf("missing Host header")
	}
	for name, values := range req.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return gd.Malformed.Errorf("invalid header field name %q", name)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return gd.Malformed.Errorf("invalid value of header field %s", name)
			}
		}
	}
	return nil
}
