package sibling

import (
	"context"

	"sequoialead/core/frame"
)

// Ask queries another entry for the records of the platform's store that it
// has read. It reports false if the entry could not be reached, or did not
// answer before the context ended.
func (s *Siblings) Ask(ctx context.Context, name string, query frame.Ask) (frame.News, bool) {
	s.mu.Lock()
	p := s.availablePeer(name)
	if p == nil {
		s.mu.Unlock()
		return frame.News{}, false
	}
	p.lastID++
	query.ID = p.lastID
	reply := make(chan frame.News, 1)
	p.pendingQueries[query.ID] = reply
	l := p.link
	s.mu.Unlock()
	l.Post(frame.Frame{Ask: &query})
	select {
	case answer, ok := <-reply:
		return answer, ok
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(p.pendingQueries, query.ID)
	return frame.News{}, false
}
