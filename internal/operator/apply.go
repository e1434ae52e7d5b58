package operator

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/wire"
)

const (
	applyAttempts = 12
	// retryPause is the first pause after an attempt without an answer; it doubles up to maxRetryPause.
	retryPause    = 50 * time.Millisecond
	maxRetryPause = time.Second
)

// ErrAuthor means that a change has no author.
var ErrAuthor = errors.New("a change needs an author: use --author or SYCAMORECTL_AUTHOR")

// ApplyRequest is a change of the stored declarations.
type ApplyRequest struct {
	Dir    string
	Author string
	Only   string // name of the only file to store; empty for all
}

// ApplyResult is a stored change.
type ApplyResult struct {
	Revision uint64          `json:"revision"`
	Changed  []FileChange    `json:"changed"` // empty if the head already held the folder's content
	Warnings config.Findings `json:"warnings,omitempty"`
}

// Apply stores the changes of a folder since its base as the next revision. The error is config.Findings for refused
// declarations and *ConflictError for files that another operator changed too; nothing has changed then. After
// objects.ErrUnavailable the change may have taken effect; applying again settles it.
func Apply(ctx context.Context, store objects.Store, r ApplyRequest) (ApplyResult, error) {
	if r.Author == "" {
		return ApplyResult{}, ErrAuthor
	}
	files, err := ReadFolder(r.Dir)
	if err != nil {
		return ApplyResult{}, err
	}
	base, err := ReadBase(r.Dir)
	if err != nil {
		return ApplyResult{}, err
	}
	a := &applier{store: store, req: r, local: byName(files), digests: digests(files), base: base, id: uuid.NewString(), stored: map[string]bool{}}
	if r.Only != "" && a.digests[r.Only] == "" && base.Files[r.Only] == "" {
		return ApplyResult{}, errors.Errorf("folder %s has no file %s", r.Dir, r.Only)
	}
	res, err := a.run(ctx)
	if err != nil {
		return ApplyResult{}, err
	}
	next := rebase(base, a.digests, a.next, res.Revision)
	return res, errors.Annotatef(writeBase(r.Dir, next), "revision %d is stored, but the base was not recorded", res.Revision)
}

type applier struct {
	store    objects.Store
	req      ApplyRequest
	local    map[string]wire.File
	digests  map[string]string
	base     Base
	id       string
	stored   map[string]bool // digests that are known to be stored
	next     map[string]string
	warnings config.Findings
}

// run repeats attempts until one is settled. Each starts by reading the head, where the id shows whether an earlier
// attempt took effect although its answer was lost. An update that is still under way cannot land later: it and the
// next attempt are conditional on the same version.
func (a *applier) run(ctx context.Context) (ApplyResult, error) {
	pause := retryPause
	var last error
	for range applyAttempts {
		res, err := a.attempt(ctx)
		switch {
		case err == nil:
			return res, nil
		case errors.Is(err, objects.ErrConflict):
			last = err
			continue
		case !errors.Is(err, objects.ErrUnavailable) && !errors.Is(err, objects.ErrThrottled):
			return ApplyResult{}, err
		}
		last = err
		select {
		case <-ctx.Done():
			return ApplyResult{}, errors.Annotate(last, "outcome unknown, apply again to settle it")
		case <-time.After(pause):
		}
		pause = min(2*pause, maxRetryPause)
	}
	return ApplyResult{}, errors.Annotate(last, "outcome unknown, apply again to settle it")
}

func (a *applier) attempt(ctx context.Context) (ApplyResult, error) {
	head, err := LoadHead(ctx, a.store)
	if err != nil {
		return ApplyResult{}, err
	}
	if c, ok := head.byID(a.id); ok {
		return ApplyResult{Revision: c.Revision, Changed: c.Files, Warnings: a.warnings}, nil
	}
	include := func(name string) bool { return a.req.Only == "" || name == a.req.Only }
	states := compare(a.base.Files, a.digests, head, include)
	if err := conflicts(states); err != nil {
		return ApplyResult{}, err
	}
	a.next = merged(states)
	if err := a.check(ctx); err != nil {
		return ApplyResult{}, err
	}
	next := head.next(a.next, Change{ID: a.id, Author: a.req.Author, UnixTime: time.Now().Unix()})
	changed := next.History[len(next.History)-1].Files
	if len(changed) == 0 && head.exists {
		return ApplyResult{Revision: head.Revision, Warnings: a.warnings}, nil
	}
	if err := a.storeFiles(ctx); err != nil {
		return ApplyResult{}, err
	}
	if err := head.write(ctx, a.store, next); err != nil {
		return ApplyResult{}, err
	}
	return ApplyResult{Revision: next.Revision, Changed: changed, Warnings: a.warnings}, nil
}

// check validates the next revision as a whole, with the files of other operators.
func (a *applier) check(ctx context.Context) error {
	foreign := make(map[string]string)
	var files []wire.File
	for name, digest := range a.next {
		if f, ok := a.local[name]; ok && f.Digest == digest {
			files = append(files, f)
		} else {
			foreign[name] = digest
		}
	}
	got, err := fetch(ctx, a.store, foreign)
	if err != nil {
		return err
	}
	for _, f := range got {
		files = append(files, f)
	}
	_, findings := config.Check(files)
	a.warnings = findings.Warnings()
	return findings.Err()
}

// storeFiles stores the local files of the next revision. They are named by their digest, so storing one twice is
// harmless.
func (a *applier) storeFiles(ctx context.Context) error {
	for name, digest := range a.next {
		f, ok := a.local[name]
		if !ok || f.Digest != digest || a.stored[digest] {
			continue
		}
		o, err := objects.Encode(objects.KindFile, digest, "", f)
		if err != nil {
			return err
		}
		if _, err := a.store.Create(ctx, o); err != nil && !errors.Is(err, objects.ErrConflict) {
			return errors.Annotatef(err, "store file %s", name)
		}
		a.stored[digest] = true
	}
	return nil
}
