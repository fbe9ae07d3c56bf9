package membership_test

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"sequoialead/core/membership"
)

func TestStrong(t *testing.T) {
	tests := []struct {
		desc string
		cpu  []float64
		want []int
	}{
		{"machines of one size are all strong", []float64{0.3, 0.3, 0.3}, []int{0, 1, 2}},
		{"large machines are strong", []float64{0.144, 0.8, 0.144, 0.5}, []int{1, 3}},
		{"entries that don't tell are not", []float64{0, 0.144}, []int{1}},
		{"unless none tells", []float64{0, 0}, []int{0, 1}},
		{"unusable numbers leave all entries", []float64{-1, math.NaN()}, []int{0, 1}},
		{"no entries", nil, nil},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c := qt.New(t)
			var entries, want []membership.Member
			for i, cpu := range tt.cpu {
				entries = append(entries, membership.Member{Name: string(rune('a' + i)), CPU: cpu})
			}
			for _, i := range tt.want {
				want = append(want, entries[i])
			}
			got := membership.Strong(entries)
			c.Assert(got, qt.HasLen, len(want))
			for i := range want {
				c.Assert(got[i].Name, qt.Equals, want[i].Name)
			}
		})
	}
}
