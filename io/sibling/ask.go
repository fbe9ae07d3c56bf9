package sibling

import (
	"context"

	"sequoialead/core/frame"
)

// Ask asks an entry for what it knows of the store's records. It reports false
// if the entry could not be reached or did not answer.
func (s *Siblings) Ask(ctx context.Context, name string, ask frame.Ask) (frame.News, bool) {
	s.mu.Lock()
	p := s.usable(name)
	if p == nil {
		s.mu.Unlock()
		return frame.News{}, false
	}
	p.last++
	ask.ID = p.last
	answer := make(chan frame.News, 1)
	p.asks[ask.ID] = answer
	l := p.link
	s.mu.Unlock()
	l.Post(frame.Frame{Ask: &ask})
	select {
	case news, ok := <-answer:
		return news, ok
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(p.asks, ask.ID)
	return frame.News{}, false
}
