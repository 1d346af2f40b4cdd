package roster

import (
	"bytes"
	"compress/flate"
	"io"

	gd "github.com/geraniumdock/geraniumdock"
)

// pack compresses a policy: its routes are alike, and bytes between data
// centres cost money.
func compress(raw []byte) []byte {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is constant
	}
	_, _ = w.Write(raw) // a buffer takes everything
	_ = w.Close()
	return buf.Bytes()
}

// unpack reverses pack.
func decompress(data []byte) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), gd.MaxObjectBytes+1))
	if err != nil {
		return nil, gd.Malformed.Wrapf(err, "compressed policy")
	}
	if len(raw) > gd.MaxObjectBytes {
		return nil, gd.TooLarge.Errorf("a policy of over %d bytes", gd.MaxObjectBytes)
	}
	return raw, nil
}
