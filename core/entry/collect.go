package entry

import "sequoialead"

// collector receives the answer of one attempt.
type collector struct {
	task     task
	maxBytes int
	raw      []byte
}

var _ sequoialead.Reply = (*collector)(nil)

// Chunk receives a chunk of the answer. The text of a generation is forwarded to
// the caller at once and is kept if the attempt fails later, so that the next
// attempt continues after it. It returns ErrFailed if the answer is too large.
func (c *collector) Chunk(data []byte) error {
	p := &c.task.run.payload
	if len(c.raw)+len(p.Answer)+len(data) > c.maxBytes {
		return sequoialead.ErrFailed.New("the answer is larger than %d bytes; ask for less or raise 'answer' in the entry's settings", c.maxBytes)
	}
	if c.task.stage.Op != sequoialead.OpGenerate {
		c.raw = append(c.raw, data...)
		return nil
	}
	p.Answer = append(p.Answer, data...)
	p.TokenCount++
	if c.task.run.sink == nil {
		return nil
	}
	return c.task.run.sink.Token(data)
}

// Flush forwards to the caller the text that the sink has buffered.
func (c *collector) Flush() error {
	if c.task.run.sink == nil || c.task.stage.Op != sequoialead.OpGenerate {
		return nil
	}
	return c.task.run.sink.Flush()
}

// finish processes the complete answer of a stage that does not stream.
func (c *collector) finish(end sequoialead.End) error {
	if c.task.stage.Op == sequoialead.OpGenerate {
		return nil
	}
	return c.task.run.payload.Apply(c.task.stage, c.raw, end.Status)
}
