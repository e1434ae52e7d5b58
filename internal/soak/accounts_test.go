package soak

import (
	"testing"
	"time"

	"sycamoredeal/platform/platformtest"
)

// TestAuditKeys guards against an audit that misses keys at servers, requests for the wrong account, requests that run without
// a valid key and keys that are rejected without cause, or that reports what is allowed.
func TestAuditKeys(t *testing.T) {
	late := configApplyLimit + time.Second
	for _, c := range []struct {
		name, rule  string // rule is empty if the request is handled as it should be
		call        callTemplate
		keys        []string
		since       time.Duration // from the storing of version 3 to the request
		status      int           // 0 if the request reaches a server
		account     string
		keyAtServer bool
	}{
		{"lasting key", "", booking, []string{"key-first"}, 0, 0, "first", false},
		{"key at a server", "KEY", booking, []string{"key-first"}, 0, 0, "first", true},
		{"other account", "ACCOUNT", booking, []string{"key-first"}, 0, 0, "second", false},
		{"no account", "ACCOUNT", booking, []string{"key-first"}, 0, 0, "", false},
		{"no key", "KEY", booking, nil, 0, 0, "", false},
		{"unknown key", "KEY", booking, []string{unknownKey}, 0, 0, "", false},
		{"key twice", "KEY", booking, []string{"key-first", "key-first"}, 0, 0, "", false},
		{"public without a key", "", lookup, nil, 0, 0, "", false},
		{"public with a forged account", "ACCOUNT", lookup, nil, 0, 0, hotAccount, false},
		{"public with a removed key", "", lookup, []string{rotatingKey(1)}, late, 0, "", false},
		{"key removed just now", "", booking, []string{rotatingKey(1)}, 0, 0, rotatingAccount, false},
		{"key removed long ago", "KEY", booking, []string{rotatingKey(1)}, late, 0, rotatingAccount, false},
		{"key of the version before", "", booking, []string{rotatingKey(2)}, late, 0, rotatingAccount, false},
		{"no key rejected", "", booking, nil, 0, 401, "", false},
		{"lasting key rejected", "DENIED", booking, []string{"key-first"}, 0, 401, "", false},
		{"public rejected", "DENIED", lookup, nil, 0, 401, "", false},
		{"new key rejected at first", "", booking, []string{rotatingKey(3)}, 0, 401, "", false},
		{"new key rejected later", "DENIED", booking, []string{rotatingKey(3)}, late, 401, "", false},
		{"removed key rejected", "", booking, []string{rotatingKey(1)}, late, 401, "", false},
	} {
		a := NewAudit()
		a.SetAccounts()
		for v := 1; v <= 3; v++ {
			a.RecordVersion(v)
		}
		c.call.call.Keys = c.keys
		a.RecordRequest("r", c.call.kind, c.call.call)
		sent := time.Now().Add(c.since)
		a.requests["r"].sentAt = sent
		if c.status == 0 {
			a.RequestArrived(platformtest.Arrival{
				Server: "s", Service: platformtest.PlainService, ID: "r", Method: c.call.call.Method, Target: c.call.call.Path, Host: platformtest.Host,
				Body: c.call.call.Body, Ran: true, ArrivedAt: sent, Account: c.account, KeySent: c.keyAtServer,
			})
		} else {
			a.CheckOutcome(platformtest.Outcome{ID: "r", Status: c.status, StartedAt: sent})
		}
		if got := a.Violations(); (len(got) > 0) != (c.rule != "") || len(got) > 0 && got[0].Rule != c.rule {
			t.Errorf("%s: %v, want %q", c.name, got, c.rule)
		}
	}
}

// TestAccountsLeavePlans guards against seeds whose other events change with the accounts, which would make recorded seeds
// useless, and against accounts that no seed or each one has.
func TestAccountsLeavePlans(t *testing.T) {
	with := 0
	for seed := range uint64(100) {
		p := NewPlan(seed, 0)
		q := Plan{Seed: seed}
		if drawAccounts(&q); q.Accounts {
			with++
		}
		hot := 0
		for _, e := range p.Planned {
			if e.Kind == HotAccount {
				hot++
			}
		}
		if p.Accounts != q.Accounts || (hot == 1) != p.Accounts {
			t.Errorf("seed %d: accounts %v, %d hot", seed, p.Accounts, hot)
		}
		if seed == 1 && (p.Hosts != 6 || p.Callers != 6 || len(p.Faults)-len(q.Faults) != 22 || len(p.Planned)-len(q.Planned) != 3) {
			t.Errorf("plan of seed 1 has changed beside its accounts: %+v", p)
		}
	}
	if with < 30 || with > 70 {
		t.Errorf("%d of 100 seeds have accounts", with)
	}
}
