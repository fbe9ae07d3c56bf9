package pool_test
import ("testing";"fmt";"os";"sync")
func TestSweep(t *testing.T) {
	both := os.Getenv("BOTH") != ""
	for _, n := range []string{"group2","group4","group4free","hundredfree","ordinary","tail","small","hundred","hundredhot","busy"} {
		var re, late, mean [2]float64
		var peak [2]int
		var mu sync.Mutex
		var wg sync.WaitGroup
		for seed := uint64(1); seed <= 4; seed++ {
			wg.Add(1)
			go func() { defer wg.Done()
			d := ordinary(); d.seed = seed
			switch n {
			case "tail": d.subjects, d.skew = 3000, 0.3
			case "small": d.memory = 60000
			case "hundred": d.entries = 100
			case "hundredhot": d.entries = 100; d.hotShare, d.hotFrom, d.hotUntil = 0.2, 5e9, 20e9
			case "group2": d.group=2
			case "group4": d.group=4
			case "group4free": d.group=4; d.coldRate=0
			case "hundredfree": d.entries=100; d.coldRate=0
			case "busy": d.rate = 240
			}
			for i, with := range []bool{false, true} {
				if i == 0 && !both { continue }
				r := d.play(with)
				mu.Lock(); peak[i] = max(peak[i], r.peak); re[i] += r.rereadShare/4; late[i] += r.late/4; mean[i] += r.mean/4; mu.Unlock()
			} }()
		}
		wg.Wait()
		fmt.Printf("%-10s reread %.3f %.3f late %.4f %.4f mean %.3f %.3f peak %d %d\n", n, re[0], re[1], late[0], late[1], mean[0], mean[1], peak[0], peak[1])
	}
}
