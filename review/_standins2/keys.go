package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["keys"] = keys }

// keys plays requesters whose Piece-Key is a word in Latin-1, such as "ml\xe9ko".
func keys(dir string, trouble bool) {
	r := newRig(dir)
	r.store.Put("keyed.op", "config", fmt.Appendf(nil, configText, 7))
	var mu sync.Mutex
	sent := map[string]string{}     // the Piece-Key of each request
	asked := map[string][2]string{} // what runners were asked for: request and key
	other, same := 0, map[string]bool{}
	seen := func(s *runner, i pieceItem) {
		mu.Lock()
		defer mu.Unlock()
		key, known := sent[i.ID]
		r.note("%s makes piece %d of %s with key %q", s.id, i.Piece, i.ID, i.Key)
		if !known || key != i.Key {
			other++
		}
		if first, ok := asked[i.Key]; ok && first[1] != key {
			same[i.Key] = true
		}
		asked[i.Key] = [2]string{i.ID, key}
	}
	for i := range 9 {
		r.addRunner(fmt.Sprintf("i-purr%d", i), "purr", []string{"akl-a", "akl-b"}[i%2], 64, stream(50*time.Millisecond, 5, 20*time.Millisecond))
	}
	for i := range 5 {
		r.addRunner(fmt.Sprintf("i-roster%d", i), "roster", []string{"akl-a", "akl-b"}[i%2], 1, pieces(240*time.Millisecond, 21*time.Millisecond, seen))
	}
	var gs []*gateway
	for i := range 3 {
		gs = append(gs, r.startGateway(fmt.Sprintf("front-%d", i+1), []string{"akl-a", "akl-b"}[i%2]))
	}
	r.waitAllReady(gs)
	time.Sleep(4 * time.Second)
	letters := []string{"\xe9", "\xe8", "\xed", "\xfd"}
	if !trouble {
		letters = []string{"e", "a", "i", "y"}
	}
	var all sync.WaitGroup
	served := 0
	for n := range 40 {
		id, key := fmt.Sprintf("%016x", 0x1c41d07b00000000+n), "ml"+letters[n%4]+"ko"
		mu.Lock()
		sent[id] = key
		mu.Unlock()
		all.Go(func() {
			a := ask(gs[n%3].front, head("POST", "a.example", "/dossier/x", id, 12000, "Model: m", "Token-Count: 2000,10", "Prompt-Prefix: ab1:100,"+id+":100", "Pieces: 1", "Piece-Key: "+key, "Content-Length: 4")+"\r\nbody", 12*time.Second)
			r.note("request %s with Piece-Key %q at front-%d: %d, whole %v %v", id, key, n%3+1, a.status, a.whole, a.err)
			if a.status == 200 && a.whole && strings.Contains(a.body, "id: 5") {
				mu.Lock()
				served++
				mu.Unlock()
			}
		})
		time.Sleep(200 * time.Millisecond)
	}
	all.Wait()
	fmt.Printf("%d of 40 served; %d pieces asked for with another key than the requester's; keys asked for on behalf of different keys: %d\n", served, other, len(same))
	r.note("%d of 40 served, %d pieces with another key, %d keys stand for several", served, other, len(same))
	if other > 0 {
		r.end(1)
	}
	if served == 0 {
		r.end(2)
	}
	r.end(0)
}
