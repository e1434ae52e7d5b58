// Package objects is a client of the platform's object API.
//
// An object has the path /apis/sycamoredeal/v1/{kind}/{name}. Its metadata.resourceVersion is an opaque string that changes
// with every update. An update states the version that it replaces; if the object has another version by then, the answer
// is status 409. A watch is a stream of JSON events, one per line. Status 410 means that the requested version is too old
// to start a watch from.
package objects

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"
)

// Kinds of objects that the system stores.
const (
	KindHead      = "confighead"     // one object "head": wire.Head and history
	KindFile      = "configfiles"    // immutable, named by the digest of the content
	KindLease     = "leases"         // one per cell
	KindPlacement = "placements"     // one per cell
	KindRoster    = "rosters"        // one per cell
	KindDirectory = "directories"    // one object "directory"
	KindOwners    = "owners"         // one object "owners": which cell owns each endpoint
	KindClaims    = "claimsegments"  // named by shard and sequence number
	KindEndpoint  = "endpointstates" // running and leaving hosts, as the platform lists them with a delay
	basePath      = "/apis/sycamoredeal/v1/"
)

// Errors that a Store returns. Compare them with errors.Is.
var (
	ErrNotFound = errors.New("object not found")
	ErrConflict = errors.New("object version is stale or the object exists")
	ErrExpired  = errors.New("watch version expired")
	// ErrUnavailable means that the call got no usable answer. A change may have taken effect nevertheless.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrThrottled means that a rate limit rejected the call. The call had no effect.
	ErrThrottled = errors.New("platform rate limit")
)

// Object is a stored object and its version.
type Object struct {
	Kind    string
	Name    string
	Version string // resource version; empty on create
	Data    json.RawMessage
}

// EventType is the kind of change that a watch reports.
type EventType string

// Types of watch events.
const (
	EventAdded    EventType = "ADDED"
	EventModified EventType = "MODIFIED"
	EventDeleted  EventType = "DELETED"
)

// Event is one change that a watch reports.
type Event struct {
	Type   EventType
	Object Object
}

// Store reads and watches objects, and changes them on condition of their version.
type Store interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns all objects of a kind and the version from which to watch for later changes.
	List(ctx context.Context, kind string) ([]Object, string, error)
	// Create stores a new object and returns it with its version, or ErrConflict if it exists.
	Create(ctx context.Context, o Object) (Object, error)
	// Update replaces an object if its version is still o.Version, or returns ErrConflict.
	Update(ctx context.Context, o Object) (Object, error)
	// Delete removes an object if its version is still o.Version. With an empty o.Version it removes any version.
	Delete(ctx context.Context, o Object) error
	// Watch calls fn for each change after the given version, to the object with the given name or, if name is empty, to
	// all objects of the kind. It returns nil when the server ends the watch, and ErrExpired if the version is too old.
	Watch(ctx context.Context, kind, name, version string, fn func(Event)) error
}

// Decode unmarshals the data of an object into a value of type T.
func Decode[T any](o Object) (T, error) {
	var v T
	if err := json.Unmarshal(o.Data, &v); err != nil {
		return v, errors.Annotatef(err, "object %s/%s", o.Kind, o.Name)
	}
	return v, nil
}

// Encode returns an object whose data is v as JSON.
func Encode(kind, name, version string, v any) (Object, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return Object{}, errors.Annotatef(err, "object %s/%s", kind, name)
	}
	return Object{Kind: kind, Name: name, Version: version, Data: data}, nil
}
