package roster

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	gd "github.com/geraniumdock/geraniumdock"
)

// deltaBlock is the length in bytes of the blocks of the base that are searched for
// in the target, and of the shortest run that is copied. A route of a policy is
// about 250 bytes long.
const deltaBlock = 64

// delta encodes target relative to base. The encoding is the length of target,
// followed by pairs of runs: the length and bytes of a run to insert, then the
// offset in base and the length of a run to copy.
func delta(base, target []byte) []byte {
	blocks := make(map[uint64]int, len(base)/deltaBlock)
	for at := 0; at+deltaBlock <= len(base); at += deltaBlock {
		blocks[xxhash.Sum64(base[at:at+deltaBlock])] = at
	}
	d := binary.AppendUvarint(nil, uint64(len(target)))
	inserted := 0 // length of the prefix of target that is encoded
	for at := 0; at+deltaBlock <= len(target); {
		from, ok := blocks[xxhash.Sum64(target[at:at+deltaBlock])]
		if !ok || !bytes.Equal(base[from:from+deltaBlock], target[at:at+deltaBlock]) {
			at++
			continue
		}
		for at > inserted && from > 0 && base[from-1] == target[at-1] {
			at, from = at-1, from-1
		}
		n := 0
		for from+n < len(base) && at+n < len(target) && base[from+n] == target[at+n] {
			n++
		}
		d = appendRuns(d, target[inserted:at], from, n)
		at += n
		inserted = at
	}
	return appendRuns(d, target[inserted:], 0, 0)
}

// appendRuns appends a run to insert and a run of n bytes to copy from base.
func appendRuns(d, insert []byte, from, n int) []byte {
	d = binary.AppendUvarint(d, uint64(len(insert)))
	d = append(d, insert...)
	d = binary.AppendUvarint(d, uint64(from))
	return binary.AppendUvarint(d, uint64(n))
}

// applyDelta returns the target of delta, given the same base.
func applyDelta(base, d []byte) ([]byte, error) {
	r := bytes.NewReader(d)
	size, err := binary.ReadUvarint(r)
	if err != nil || size > gd.MaxObjectBytes {
		return nil, gd.Malformed.Errorf("delta: invalid target size %d", size)
	}
	target := make([]byte, 0, size)
	for uint64(len(target)) < size {
		insert, err := binary.ReadUvarint(r)
		if err != nil || insert > min(uint64(r.Len()), size) {
			return nil, gd.Malformed.Errorf("delta: invalid insert of %d bytes", insert)
		}
		at := len(d) - r.Len()
		target = append(target, d[at:at+int(insert)]...)
		r.Reset(d[at+int(insert):])
		d = d[at+int(insert):]
		from, ferr := binary.ReadUvarint(r)
		n, nerr := binary.ReadUvarint(r)
		if ferr != nil || nerr != nil || n > size || from > uint64(len(base)) || from+n > uint64(len(base)) || insert+n == 0 {
			return nil, gd.Malformed.Errorf("delta: invalid copy of %d bytes at offset %d of %d", n, from, len(base))
		}
		target = append(target, base[from:from+n]...)
	}
	if uint64(len(target)) != size {
		return nil, gd.Malformed.Errorf("delta: target has %d bytes, want %d", len(target), size)
	}
	return target, nil
}
