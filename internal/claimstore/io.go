package claimstore

import (
	"context"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/claims"
	"sycamoredeal/internal/objects"
)

// ended is how a call to the platform ended.
type ended struct {
	action  claims.Action
	segs    []claims.Stored
	ok      bool
	version string
	result  claims.WriteResult
}

func (e ended) feed(m *claims.Machine, now time.Time) []claims.Action {
	switch e.action.(type) {
	case claims.Load:
		return m.Loaded(now, e.segs, e.ok)
	case claims.Write:
		return m.Written(now, e.version, e.result)
	default:
		return m.Deleted(now, e.result)
	}
}

// io performs the calls of one shard, one after the other.
func (s *shard) io(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-s.orders:
			s.ends <- s.call(ctx, a)
		}
	}
}

func (s *shard) call(ctx context.Context, a claims.Action) ended {
	e := ended{action: a}
	var err error
	switch a := a.(type) {
	case claims.Load:
		e.segs, err = s.load(ctx, a)
		e.ok = err == nil
	case claims.Write:
		e.version, err = s.write(ctx, a)
		e.result = writeResult(err)
	case claims.Delete:
		err = s.deps.Store.Delete(ctx, objects.Object{Kind: objects.KindClaims, Name: claims.Name(s.id, a.Seq), Version: a.Version})
		if e.result = writeResult(err); errors.Is(err, objects.ErrNotFound) {
			e.result = claims.WriteDone
		}
	}
	if err != nil {
		s.deps.Log.Debug().Int("shard", s.id).Err(err).Msg("Claim call failed.")
	}
	return e
}

// writeResult classifies the error of an update. Every error that does not prove a conflict is unclear.
func writeResult(err error) claims.WriteResult {
	switch {
	case err == nil:
		return claims.WriteDone
	case errors.Is(err, objects.ErrConflict) || errors.Is(err, objects.ErrNotFound):
		return claims.WriteConflict
	}
	return claims.WriteUnclear
}

func (s *shard) write(ctx context.Context, a claims.Write) (string, error) {
	o, err := objects.Encode(objects.KindClaims, claims.Name(s.id, a.Seq), a.Version, a.Segment)
	if err != nil {
		return "", err
	}
	put := s.deps.Store.Update
	if a.Version == "" {
		put = s.deps.Store.Create
	}
	o, err = put(ctx, o)
	return o.Version, err
}

// load reads all segments of the shard, or those from a sequence number on. The list covers all shards; it is read only
// when a process begins to serve a shard.
func (s *shard) load(ctx context.Context, a claims.Load) ([]claims.Stored, error) {
	if !a.All {
		return s.follow(ctx, a.From)
	}
	objects, _, err := s.deps.Store.List(ctx, objects.KindClaims)
	if err != nil {
		return nil, err
	}
	var out []claims.Stored
	for _, o := range objects {
		if shard, _, ok := claims.ParseName(o.Name); !ok || shard != s.id {
			continue
		}
		seg, err := decode(o)
		if err != nil {
			return nil, err
		}
		out = append(out, seg)
	}
	return out, nil
}

// follow reads segments until one that is not sealed or does not exist.
func (s *shard) follow(ctx context.Context, seq uint64) ([]claims.Stored, error) {
	var out []claims.Stored
	for {
		o, err := s.deps.Store.Get(ctx, objects.KindClaims, claims.Name(s.id, seq))
		if errors.Is(err, objects.ErrNotFound) {
			return out, nil
		}
		if err != nil {
			return nil, err
		}
		seg, err := decode(o)
		if err != nil {
			return nil, err
		}
		out = append(out, seg)
		if !seg.Sealed {
			return out, nil
		}
		seq++
	}
}

func decode(o objects.Object) (claims.Stored, error) {
	seg, err := objects.Decode[claims.Segment](o)
	return claims.Stored{Segment: seg, Version: o.Version}, err
}
