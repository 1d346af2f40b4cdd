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

// readRequest reads the head of a request of at most limit bytes. Its errors
// are of kind Malformed or TooLarge, or those of the connection.
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

// peekHead returns the bytes up to the empty line that ends the head.
func peekHead(br *bufio.Reader, limit int) ([]byte, error) {
	if err := skipEmptyLines(br); err != nil {
		return nil, err
	}
	seen := 0
	for {
		if _, err := br.Peek(seen + 1); err != nil {
			if seen > 0 && err == io.EOF {
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
		if seen = len(buffered); seen >= limit {
			return nil, gd.TooLarge.Errorf("the head of the request is longer than %d bytes", limit)
		}
	}
}

// skipEmptyLines drops line ends before a request, which some clients send
// after a body.
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

// checkHead refuses heads that two parsers could read in different ways.
func checkHead(head []byte) error {
	lengths, codings := 0, 0
	for i, line := range strings.Split(strings.TrimSuffix(string(head), string(headEnd)), "\r\n") {
		name, _, _ := strings.Cut(line, ":")
		switch {
		case strings.ContainsAny(line, "\r\n\x00"):
			return gd.Malformed.Errorf("a line of the head ends without CR LF")
		case i == 0:
		case line[0] == ' ' || line[0] == '\t':
			return gd.Malformed.Errorf("a header field is folded over two lines")
		case strings.EqualFold(name, "Content-Length"):
			lengths++
		case strings.EqualFold(name, "Transfer-Encoding"):
			codings++
		}
	}
	if lengths > 1 || codings > 1 || lengths+codings > 1 {
		return gd.Malformed.Errorf("the length of the body is given more than once")
	}
	return nil
}

func checkFields(req *http.Request) error {
	if req.Host == "" && req.ProtoAtLeast(1, 1) {
		return gd.Malformed.Errorf("no host")
	}
	for name, values := range req.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return gd.Malformed.Errorf("header field name %q", name)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return gd.Malformed.Errorf("value of header field %s", name)
			}
		}
	}
	return nil
}
