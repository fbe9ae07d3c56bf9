package config_test

import (
	"fmt"
	"testing"

	"sequoialead"
	"sequoialead/common/digest"
	"sequoialead/core/config"
	"sequoialead/core/document"
)

// BenchmarkUpdate compares Decode with Update for one change to a configuration
// with many customers.
func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{1000, 6000, 12000, 24000} {
		var changes []sequoialead.Change
		for i := range n {
			changes = append(changes, sequoialead.Change{Section: fmt.Sprint("customer.c", i), Key: "key", Value: digest.Of(fmt.Sprint(i))})
		}
		doc := document.New().Apply(changes)
		conf, err := config.Decode(doc)
		if err != nil {
			b.Fatal(err)
		}
		change := []sequoialead.Change{{Section: "customer.c0", Key: "share", Value: "2"}}
		b.Run(fmt.Sprint("decode-", n), func(b *testing.B) {
			for b.Loop() {
				if _, err := config.Decode(doc.Apply(change)); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprint("update-", n), func(b *testing.B) {
			for b.Loop() {
				if _, err := config.Update(conf, doc, doc.Apply(change), change); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
