package fleet

import (
	"crypto/sha256"
	"crypto/subtle"
)

// AccountLimit is the quota of a client account over all hosts together. It is unlimited if PerSec is 0.
type AccountLimit struct {
	PerSec    float64 // units that are added per second
	Burst     float64 // units that may be used at once after a pause
	ByTokens  bool    // the unit is a token; otherwise it is a request
	PlainCost float64 // tokens that a request counts as if it doesn't state its size
}

// Limited reports whether the limit bounds anything.
func (l *AccountLimit) Limited() bool { return l.PerSec > 0 }

// Account is a client account: the owner of keys, with its rank and quota.
type Account struct {
	Name   string
	Ranked bool // Rank goes before that of the route
	Rank   int  // 0 is the most urgent
	Limit  AccountLimit
}

// Accounts holds the client accounts of a configuration, indexed by their keys. It must not be changed after it was built.
type Accounts struct {
	byName map[string]*Account
	byKey  map[[sha256.Size]byte]*accountKey
}

// accountKey is a key with its account. Keys are found by their digest, so that the time of a lookup tells nothing about the
// stored keys, and then compared in constant time.
type accountKey struct {
	key     []byte
	account *Account
}

// NewAccounts returns an empty set of accounts.
func NewAccounts() *Accounts {
	return &Accounts{byName: make(map[string]*Account), byKey: make(map[[sha256.Size]byte]*accountKey)}
}

// Add adds an account with its keys.
func (a *Accounts) Add(account Account, keys []string) {
	p := &account
	a.byName[account.Name] = p
	for _, k := range keys {
		a.byKey[sha256.Sum256([]byte(k))] = &accountKey{[]byte(k), p}
	}
}

// ByKey returns the account that holds a key, or nil.
func (a *Accounts) ByKey(key string) *Account {
	sent := []byte(key)
	k := a.byKey[sha256.Sum256(sent)]
	if k == nil || subtle.ConstantTimeCompare(k.key, sent) != 1 {
		return nil
	}
	return k.account
}

// ByName returns the account with a name, or nil. A nil receiver has no accounts.
func (a *Accounts) ByName(name string) *Account {
	if a == nil {
		return nil
	}
	return a.byName[name]
}
