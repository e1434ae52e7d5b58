package fleet

import (
	"fmt"
	"testing"
)

// TestRankAndCost guards against requests that are ordered or charged by the wrong rule.
func TestRankAndCost(t *testing.T) {
	route, public := &Route{Rank: 2}, &Route{Rank: 2, Public: true}
	tokens := &Account{Limit: AccountLimit{PerSec: 1, ByTokens: true, PlainCost: 7}}
	plain := &Account{Ranked: true, Limit: AccountLimit{PerSec: 1, PlainCost: 7}}
	for _, tc := range []struct {
		q    Request
		rank int
		cost float64
	}{
		{Request{Route: route}, 2, 0},
		{Request{Route: route, Account: &Account{}, SizeStated: true, PromptTokens: 9}, 2, 0},
		{Request{Route: route, Account: tokens}, 2, 7},
		{Request{Route: route, Account: tokens, PromptTokens: 9}, 2, 7},
		{Request{Route: route, Account: tokens, SizeStated: true, PromptTokens: 1<<32 - 1, MaxTokens: 1}, 2, 1 << 32},
		{Request{Route: public, Account: tokens}, 2, 0},
		{Request{Route: route, Account: plain, SizeStated: true, PromptTokens: 9}, 0, 1},
	} {
		if tc.q.Rank() != tc.rank || tc.q.Cost() != tc.cost {
			t.Errorf("%+v: rank %d, cost %v", tc, tc.q.Rank(), tc.q.Cost())
		}
	}
	if (*Accounts)(nil).ByName("a") != nil {
		t.Error("a configuration without accounts has one")
	}
}

// BenchmarkByKey shows that the cost of finding a key doesn't grow with the number of keys.
func BenchmarkByKey(b *testing.B) {
	for _, n := range []int{1, 1000, 100000} {
		a := NewAccounts()
		for i := range n {
			a.Add(Account{Name: fmt.Sprint(i)}, []string{fmt.Sprintf("key-%040d", i)})
		}
		key := fmt.Sprintf("key-%040d", n-1)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if a.ByKey(key) == nil {
					b.Fatal("the key is unknown")
				}
			}
		})
	}
}
