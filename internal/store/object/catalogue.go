package object

import (
	"context"
	"encoding/json"
	"net/url"
	"strings"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
)

// entryKindPrefix is the prefix of the kinds of the entries that hold objects.
const entryKindPrefix = "geraniumdock-"

// CatalogueStore is a Store on the platform's catalogue. The part of a key before the first
// slash determines the kind of the entry, the rest its name; keys without a slash share
// one kind. The value of the entry is a JSON string with the base64 encoding of the
// object's bytes.
type CatalogueStore struct {
	catalogue gd.Catalogue
}

// NewCatalogueStore returns a store that keeps its objects in c.
func NewCatalogueStore(c gd.Catalogue) *CatalogueStore { return &CatalogueStore{c} }

// entryFor returns the kind and name of the entry for key.
func entryFor(key string) (kind, name string) {
	first, rest, found := strings.Cut(key, "/")
	if !found {
		first, rest = "object", key
	}
	return entryKindPrefix + first, url.PathEscape(rest)
}

// decodeObject returns the object at key that an entry holds.
func decodeObject(key string, e gd.Entry) (gd.Object, error) {
	var value []byte
	if err := json.Unmarshal(e.Value, &value); err != nil {
		return gd.Object{}, gd.Unavailable.Wrapf(err, "decode entry of object %s", key)
	}
	return gd.Object{Key: key, Revision: e.Revision, Value: value}, nil
}

// Get returns the object at key.
func (s *CatalogueStore) Get(ctx context.Context, key string) (gd.Object, error) {
	kind, name := entryFor(key)
	e, err := s.catalogue.Get(ctx, kind, name)
	switch {
	case gd.NotFound.Is(err), err == nil && e.Deleted:
		return gd.Object{Revision: gd.Revision{Era: e.Revision.Era}}, gd.NotFound.Errorf("no object %s", key)
	case err != nil:
		return gd.Object{}, err
	}
	return decodeObject(key, e)
}

// Put writes value if the revision of key is still ifRevision.
func (s *CatalogueStore) Put(ctx context.Context, key string, value []byte, ifRevision gd.Revision) (gd.Object, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return gd.Object{}, gd.Internal.Wrapf(err, "encode object %s", key)
	}
	if len(data) > gd.MaxObjectBytes {
		return gd.Object{}, gd.TooLarge.Errorf("object %s has %d bytes when encoded; the limit is %d", key, len(data), gd.MaxObjectBytes)
	}
	kind, name := entryFor(key)
	e, err := s.catalogue.Put(ctx, kind, name, data, ifRevision)
	if gd.NotFound.Is(err) {
		err = gd.Conflict.Wrapf(err, "object %s was removed", key)
	}
	return gd.Object{Key: key, Revision: e.Revision, Value: value}, err
}

// Delete removes the object at key if its revision is still ifRevision.
func (s *CatalogueStore) Delete(ctx context.Context, key string, ifRevision gd.Revision) error {
	kind, name := entryFor(key)
	return s.catalogue.Delete(ctx, kind, name, ifRevision)
}

// List returns the objects whose keys begin with prefix, ordered by key. The prefix
// must include the first slash of the keys. An object that cannot be read has no value.
func (s *CatalogueStore) List(ctx context.Context, prefix string) ([]gd.Object, error) {
	kind, _ := entryFor(prefix)
	entries, _, err := s.catalogue.List(ctx, kind)
	if err != nil {
		return nil, err
	}
	var list []gd.Object
	for _, e := range entries {
		name, err := url.PathUnescape(e.Name)
		key := strings.TrimPrefix(kind, entryKindPrefix) + "/" + name
		if err != nil || e.Deleted || !strings.HasPrefix(key, prefix) {
			continue // not written by this store, being deleted, or without the prefix
		}
		o, err := decodeObject(key, e)
		if err != nil {
			o = gd.Object{Key: key, Revision: e.Revision} // another writer's; it must not hide the others
		}
		list = append(list, o)
	}
	return list, nil
}

// Watch waits until the revision of key is greater than after.
func (s *CatalogueStore) Watch(ctx context.Context, key string, after gd.Revision, wait time.Duration) (gd.Object, error) {
	kind, name := entryFor(key)
	end := clock.Deadline(wait)
	o, err := s.Get(ctx, key)
	if err == nil && o.Revision.After(after) || err != nil && !gd.NotFound.Is(err) {
		return o, err
	}
	for from := gd.Later(after, o.Revision); ; {
		left := -clock.Since(end)
		if left <= 0 {
			return gd.Object{}, gd.TimedOut.Errorf("no change of %s", key)
		}
		entries, revision, err := s.catalogue.Watch(ctx, kind, from, left)
		if gd.Expired.Is(err) {
			entries, revision, err = s.catalogue.List(ctx, kind)
		}
		if err != nil {
			return gd.Object{}, err
		}
		for _, e := range entries {
			if e.Name == name && !e.Deleted && e.Revision.After(after) {
				return decodeObject(key, e)
			}
		}
		from = revision
	}
}
