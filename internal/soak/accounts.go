package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"sycamoredeal/platform/platformtest"
)

// HotAccount is planned work: the callers of one account send as fast as they can, which excuses nothing.
const HotAccount Kind = "hot account"

const (
	accountStream   = 1 << 34 // stream of random numbers for accounts, so that a seed's other events stay as they are
	maxKeyChanges   = 3       // configurations beside those that a seed draws anyway, in each phase
	keyPrefix       = "key-"  // a lasting key is keyPrefix and the name of its account
	unknownKey      = keyPrefix + "unknown"
	rotatingAccount = "rotating" // its keys change with each version: one lasts for that version and the next
	hotAccount      = "hot"
	hotCallers      = 4
	hotRate         = 40.0 // requests a second that the account may send
	keyKinds        = 20   // callers choose among so many cases, of which most are valid keys
)

// lastingAccounts are the accounts whose keys all versions of the configuration have, by rank.
var lastingAccounts = []string{"first", "second", "third"}

// drawAccounts decides whether a run has accounts, and adds changes of keys and a hot account.
func drawAccounts(p *Plan) {
	rng := rand.New(rand.NewPCG(p.Seed, accountStream))
	if p.Accounts = rng.IntN(2) == 0; !p.Accounts {
		return
	}
	for range 1 + rng.IntN(maxKeyChanges) {
		p.Faults = append(p.Faults, drawEvent(rng, []Kind{Configure}, faultPhase))
		p.Planned = append(p.Planned, drawEvent(rng, []Kind{Configure}, plannedPhase))
	}
	p.Planned = append(p.Planned, drawEvent(rng, []Kind{HotAccount}, plannedPhase))
}

// rotatingKey returns the key that a version of the configuration adds.
func rotatingKey(version int) string {
	return fmt.Sprintf("%s%s-%d", keyPrefix, rotatingAccount, version)
}

// configuration returns the configuration with the given version, with accounts if the run has them.
func (f *fleet) configuration(version int) map[string]any {
	c := configuration(version)
	if !f.accounts {
		return c
	}
	platformtest.SetPublic(c, "lookup")
	for rank, name := range lastingAccounts {
		platformtest.AddAccount(c, name, rank, keyPrefix+name)
	}
	platformtest.AddAccount(c, rotatingAccount, -1, rotatingKey(version), rotatingKey(version-1))
	platformtest.AddAccount(c, hotAccount, 1, keyPrefix+hotAccount)
	platformtest.LimitAccount(c, hotAccount, hotRate, 2*hotRate)
	return c
}

// holderOf returns the account that holds the key of a call, empty if none does, and for a key of rotatingAccount the version
// that adds it. The version after next removes it.
func holderOf(keys []string) (account string, version int) {
	if len(keys) != 1 {
		return "", 0
	}
	name := strings.TrimPrefix(keys[0], keyPrefix)
	if v, ok := strings.CutPrefix(name, rotatingAccount+"-"); ok {
		version, _ = strconv.Atoi(v)
		return rotatingAccount, version
	}
	if name == hotAccount || slices.Contains(lastingAccounts, name) {
		return name, 0
	}
	return "", 0
}

// isPublic reports whether a call needs no key.
func isPublic(c *platformtest.Call) bool { return strings.HasPrefix(c.Path, platformtest.LookupPath) }

// withLastingKey returns a call with a key that all versions of the configuration have, if the run has accounts.
func (f *fleet) withLastingKey(c callTemplate) callTemplate {
	if f.accounts {
		c.call.Keys = []string{keyPrefix + lastingAccounts[0]}
	}
	return c
}

// withKey returns a call with a random key, valid or not, if the run has accounts. Some calls forge the account header.
func (f *fleet) withKey(rng *rand.Rand, c callTemplate) callTemplate {
	if !f.accounts {
		return c
	}
	key := keyPrefix + lastingAccounts[rng.IntN(len(lastingAccounts))]
	switch n := rng.IntN(keyKinds); {
	case n == 0:
	case n == 1:
		c.call.Keys = []string{unknownKey}
	case n == 2:
		c.call.Keys = []string{key, key}
	case n <= 7: // the key of a version that was removed, is in force, or is about to be stored
		c.call.Keys = []string{rotatingKey(max(f.audit.NewestVersion()-3+rng.IntN(5), 1))}
	default:
		c.call.Keys = []string{key}
	}
	if rng.IntN(4) == 0 {
		c.call.Account = hotAccount
	}
	return c
}

// runHotAccount has callers of one account send requests without pauses.
func (f *fleet) runHotAccount(e Event) {
	end := time.Now().Add(e.Duration)
	var wg sync.WaitGroup
	for i := range hotCallers {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(e.Target), uint64(i)))
			client := platformtest.NewClient(f.pickHost(rng).frontAddr)
			defer client.Close()
			for time.Now().Before(end) && f.ctx.Err() == nil {
				c := booking
				c.call.Keys = []string{keyPrefix + hotAccount}
				if o := f.call(f.ctx, client, c); o.Status == 0 {
					return
				}
			}
		})
	}
	wg.Wait()
}

// SetAccounts states that the configurations of the run have accounts.
func (a *Audit) SetAccounts() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.accounts = true
}

// checkKeyLocked checks the key and account of a request that a server received. The caller holds the lock.
func (a *Audit) checkKeyLocked(r *request, x *platformtest.Arrival) {
	if !a.accounts {
		return
	}
	account, version := holderOf(r.call.Keys)
	public := isPublic(&r.call)
	if x.KeySent {
		a.reportLocked("KEY", "server %s received request %s with a key", x.Server, x.ID)
	}
	if x.Account != account && !(public && version > 0 && x.Account == "") { // at a public route, a key that is not in force means no account
		a.reportLocked("ACCOUNT", "server %s received request %s for account %q, its key is that of %q", x.Server, x.ID, x.Account, account)
	}
	if !x.Ran || public {
		return
	}
	removed := version + 2
	switch {
	case account == "":
		a.reportLocked("KEY", "request %s %s ran at server %s without a valid key", x.ID, r.call.Path, x.Server)
	case version > 0 && a.configs.overdue(removed, r.sentAt) && a.faultFreeLocked(a.configs.acknowledgedAt[removed], r.sentAt):
		a.reportLocked("KEY", "request %s %s ran with key %d, sent %v after version %d, which removes that key, was stored", x.ID, r.call.Path, version,
			r.sentAt.Sub(a.configs.acknowledgedAt[removed]), removed)
	}
}

// checkRejectedKeyLocked checks a response with status 401. The caller holds the lock.
func (a *Audit) checkRejectedKeyLocked(o *platformtest.Outcome, r *request) {
	if r.refused = true; r.runs > 0 {
		a.reportLocked("REFUSED", "request %s %s was rejected for its key, but it ran", o.ID, r.call.Path)
	}
	account, version := holderOf(r.call.Keys)
	c := &a.configs
	switch {
	case account == "" && !isPublic(&r.call): // no version allows it
	case isPublic(&r.call) || version == 0:
		a.reportLocked("DENIED", "request %s %s with a key that every version has, or without need of one: %.80s", o.ID, r.call.Path, o.Body)
	case c.overdue(version, o.StartedAt) && c.newest <= version+1 && a.faultFreeLocked(c.acknowledgedAt[version], o.StartedAt):
		a.reportLocked("DENIED", "request %s %s with key %d, sent %v after the version with that key was stored", o.ID, r.call.Path, version,
			o.StartedAt.Sub(c.acknowledgedAt[version]))
	}
}
