package entry

import "sequoialead"

// collector takes the answer of one attempt.
type collector struct {
	task task
	most int
	raw  []byte
}

var _ sequoialead.Reply = (*collector)(nil)

// Chunk takes a piece of the answer. A generation's text goes on to the caller
// at once and counts as received, also if the attempt is cut short later.
func (c *collector) Chunk(data []byte) error {
	w := &c.task.run.work
	if len(c.raw)+len(w.Answer)+len(data) > c.most {
		return sequoialead.ErrFailed.New("the answer is larger than %d bytes; ask for less or raise 'answer' in the entry's settings", c.most)
	}
	if c.task.stage.Op != sequoialead.OpGenerate {
		c.raw = append(c.raw, data...)
		return nil
	}
	w.Answer = append(w.Answer, data...)
	w.Produced++
	if c.task.run.sink == nil {
		return nil
	}
	return c.task.run.sink.Token(data)
}

// Flush passes on that no more text is at hand.
func (c *collector) Flush() error {
	if c.task.run.sink == nil || c.task.stage.Op != sequoialead.OpGenerate {
		return nil
	}
	return c.task.run.sink.Flush()
}

// finish takes the whole answer of a stage that does not stream.
func (c *collector) finish(end sequoialead.End) error {
	if c.task.stage.Op == sequoialead.OpGenerate {
		return nil
	}
	return c.task.run.work.Take(c.task.stage, c.raw, end.Status)
}
