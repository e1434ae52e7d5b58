// Package objects is the client of the platform's object API.
//
// Objects live under /apis/sycamoredeal/v1/{kind}/{name}. Each carries metadata.resourceVersion, an opaque string that
// changes with every update. Updates are conditional on it; a stale one is answered with 409. A watch is a stream of
// JSON events, one a line; 410 says that the version asked for is too old to resume from.
package objects

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"
)

// Kinds of objects that the system keeps.
const (
	KindHead      = "confighead"     // one object "head": wire.Head and history
	KindFile      = "configfiles"    // immutable, named by the digest of the content
	KindLease     = "leases"         // one per cell
	KindPlacement = "placements"     // one per cell
	KindRoster    = "rosters"        // one per cell
	KindDirectory = "directories"    // one object "directory"
	KindOwners    = "owners"         // one object "owners": which cell owns each endpoint
	KindClaims    = "claimsegments"  // named by shard and sequence number
	KindEndpoint  = "endpointstates" // the platform's lagging list of live and leaving hosts
	basePath      = "/apis/sycamoredeal/v1/"
)

// Errors of the store. Compare with errors.Is.
var (
	ErrNotFound = errors.New("object not found")
	ErrConflict = errors.New("object version is stale or the object exists")
	ErrExpired  = errors.New("watch version expired")
	// ErrUnavailable means that the outcome of the call is unknown for updates: it may have taken effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrThrottled means that the call was refused by a rate limit and had no effect.
	ErrThrottled = errors.New("platform rate limit")
)

// Object is one object with its version.
type Object struct {
	Kind    string
	Name    string
	Version string // resource version; empty on create
	Data    json.RawMessage
}

// EventType tells what happened to a watched object.
type EventType string

// Types of watch events.
const (
	EventAdded    EventType = "ADDED"
	EventModified EventType = "MODIFIED"
	EventDeleted  EventType = "DELETED"
)

// Event is one change seen by a watch.
type Event struct {
	Type   EventType
	Object Object
}

// Store reads and conditionally updates objects.
type Store interface {
	// Get returns an object or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns all objects of a kind and the version from which to watch.
	List(ctx context.Context, kind string) ([]Object, string, error)
	// Create stores a new object and returns it with its version, or ErrConflict if it exists.
	Create(ctx context.Context, o Object) (Object, error)
	// Update replaces an object if its version is still o.Version, or returns ErrConflict.
	Update(ctx context.Context, o Object) (Object, error)
	// Delete removes an object if its version is still o.Version; an empty version removes any.
	Delete(ctx context.Context, o Object) error
	// Watch calls fn for each change of a kind after the given version, of one name or of all if name is empty. It
	// returns nil when the server ends the watch, ErrExpired for an old version, or another error.
	Watch(ctx context.Context, kind, name, version string, fn func(Event)) error
}

// Decode unmarshals the data of an object.
func Decode[T any](o Object) (T, error) {
	var v T
	if err := json.Unmarshal(o.Data, &v); err != nil {
		return v, errors.Annotatef(err, "object %s/%s", o.Kind, o.Name)
	}
	return v, nil
}

// Encode returns an object with v as its data.
func Encode(kind, name, version string, v any) (Object, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return Object{}, errors.Annotatef(err, "object %s/%s", kind, name)
	}
	return Object{Kind: kind, Name: name, Version: version, Data: data}, nil
}
