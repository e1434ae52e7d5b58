package control

import (
	"context"

	"github.com/juju/errors"

	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/revision"
	"sycamoredeal/internal/transport"
	"sycamoredeal/internal/wire"
)

// fetchJob is a fetch from the platform, or from a member over its connection.
type fetchJob struct {
	revision.Fetch
	peer *transport.Client
}

// runFetches carries out the fetches that the core asks for, one at a time.
func (c *Control) runFetches(ctx context.Context) {
	for {
		job, err := c.fetches.Pop(ctx)
		if err != nil {
			return
		}
		e := evFetched{fetch: job.Fetch}
		call, cancel := context.WithTimeout(ctx, fetchTimeout)
		if job.Source == revision.Platform {
			e.head, e.files, e.err = c.fetchPlatform(call, job.Fetch)
		} else {
			e.head, e.files, e.err = fetchPeer(call, job)
		}
		cancel()
		c.events.Push(ctx, e)
	}
}

func (c *Control) fetchPlatform(ctx context.Context, f revision.Fetch) (*wire.Head, []wire.File, error) {
	if f.Head {
		o, err := c.opts.Store.Get(ctx, objects.KindHead, "head")
		if err != nil {
			return nil, nil, err
		}
		head, err := objects.Decode[wire.Head](o)
		return &head, nil, err
	}
	var files []wire.File
	for _, d := range f.Digests {
		o, err := c.opts.Store.Get(ctx, objects.KindFile, d)
		if err != nil {
			return nil, files, err
		}
		file, err := objects.Decode[wire.File](o)
		if err != nil {
			return nil, files, err
		}
		files = append(files, file)
	}
	return nil, files, nil
}

func fetchPeer(ctx context.Context, job fetchJob) (*wire.Head, []wire.File, error) {
	if job.peer == nil {
		return nil, nil, transport.ErrClosed
	}
	if job.Head {
		m, err := job.peer.Call(ctx, &wire.HeadRequest{})
		if r, ok := m.(*wire.HeadReply); ok {
			return &r.Head, nil, err
		}
		return nil, nil, err
	}
	m, err := job.peer.Call(ctx, &wire.FileRequest{Digests: job.Digests})
	if err != nil {
		return nil, nil, err
	}
	r, ok := m.(*wire.FileReply)
	if !ok || len(r.Files) == 0 {
		return nil, nil, errors.Errorf("member %s does not have the files", job.Source)
	}
	return nil, r.Files, nil
}
