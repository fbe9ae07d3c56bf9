// Package link sends and receives frames over a WebSocket connection. Each
// binary message is a sequence of CBOR-encoded frames.
package link

import (
	"bytes"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gorilla/websocket"
	"gopkg.in/tomb.v2"

	"sequoialead"
	"sequoialead/core/protocol"
)

// Limits and timeouts of a connection.
const (
	// QueueCapacity is the number of frames that can be queued for sending
	// before Send blocks.
	QueueCapacity = 256
	// MaxBatchBytes is the encoded size in bytes at which a batch of frames is
	// written as one message.
	MaxBatchBytes = 64 << 10
	// MaxMessageBytes is the largest message accepted from the peer.
	MaxMessageBytes = 16 << 20
	// WriteTimeout bounds the writing of one message.
	WriteTimeout = 2 * time.Second
	// DefaultReadTimeout is how long a connection may go without receiving a
	// message before it is closed.
	DefaultReadTimeout = 3 * time.Second
)

// Options configures a link.
type Options struct {
	Conn *websocket.Conn
	// Peer is the name of the remote process; empty if unknown.
	Peer string
	// Handle is called for each received frame, in order, on the reading
	// goroutine. It must not block, and must send with SendAsync instead of Send.
	Handle func(*Link, protocol.Frame)
	// ReadTimeout is how long the connection may go without receiving a message
	// before it is closed; 0 for DefaultReadTimeout.
	ReadTimeout time.Duration
	// StaleAfter is the time between two messages after which the second one is taken
	// as outdated, because this process was suspended; 0 for twice the ReadTimeout.
	StaleAfter time.Duration
}

// Link is one open connection.
type Link struct {
	opts    Options
	tomb    tomb.Tomb
	queue   chan protocol.Frame
	traffic traffic

	// writeMu is held by the Send call that writes the queue on behalf of all
	// concurrent callers. It guards buffer and encoder.
	writeMu sync.Mutex
	buffer  bytes.Buffer
	encoder *cbor.Encoder

	// silentTicks counts the calls of Tick since the last message.
	silentTicks atomic.Int32

	pendingMu sync.Mutex
	// pending holds the frames not yet taken by sendPending, in order.
	pending []protocol.Frame
	wakeup  chan struct{}
}

// New starts a link over an open connection, which it closes when it ends.
func New(opts Options) *Link {
	if opts.ReadTimeout == 0 {
		opts.ReadTimeout = DefaultReadTimeout
	}
	if opts.StaleAfter == 0 {
		opts.StaleAfter = 2 * opts.ReadTimeout
	}
	l := &Link{opts: opts, queue: make(chan protocol.Frame, QueueCapacity), wakeup: make(chan struct{}, 1)}
	l.encoder = cbor.NewEncoder(&l.buffer)
	l.traffic.lastReceived.Store(time.Now().UnixNano())
	opts.Conn.SetReadLimit(MaxMessageBytes)
	l.tomb.Go(func() error {
		// Started from here, since a tomb whose only goroutine has ended accepts no other.
		l.tomb.Go(l.sendPending)
		l.tomb.Go(l.read)
		<-l.tomb.Dying()
		return opts.Conn.Close()
	})
	return l
}

// Send enqueues a frame and writes the queue to the connection, unless a
// concurrent call is already writing it. It blocks while the queue is full.
// The error is ErrClosed if the link is closed, ErrLost if the write failed,
// and ErrProtocol if a frame cannot be encoded; the last two close the link.
func (l *Link) Send(f protocol.Frame) error {
	select {
	case l.queue <- f:
	case <-l.tomb.Dying():
		return sequoialead.ErrClosed.New("connection is closed; use another")
	}
	for len(l.queue) > 0 && l.writeMu.TryLock() {
		err := l.writeQueued()
		l.writeMu.Unlock()
		if err != nil {
			l.tomb.Kill(err)
			return err
		}
	}
	return nil
}

// SendAsync enqueues a frame to be sent by another goroutine and returns at once.
// Handle must use it instead of Send: if the readers at both ends blocked on
// writes to each other, neither would read again. On a closed link it does
// nothing.
func (l *Link) SendAsync(f protocol.Frame) {
	l.pendingMu.Lock()
	l.pending = append(l.pending, f)
	l.pendingMu.Unlock()
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

// sendPending sends the pending frames, in order, until the link is closed.
func (l *Link) sendPending() error {
	for {
		select {
		case <-l.wakeup:
		case <-l.tomb.Dying():
			return nil
		}
		l.pendingMu.Lock()
		frames := l.pending
		l.pending = nil
		l.pendingMu.Unlock()
		for _, f := range frames {
			if l.Send(f) != nil {
				return nil // Send has closed the link or found it closed
			}
		}
	}
}

// Peer returns the name of the remote process; empty if unknown.
func (l *Link) Peer() string { return l.opts.Peer }

// Done returns a channel that is closed once the link is closing.
func (l *Link) Done() <-chan struct{} { return l.tomb.Dying() }

// Err returns the reason why the link was closed. It is tomb.ErrStillAlive
// while the link is open.
func (l *Link) Err() error { return l.tomb.Err() }

// Bytes returns the number of message bytes received and sent so far.
func (l *Link) Bytes() (received, sent uint64) {
	return l.traffic.received.Load(), l.traffic.sent.Load()
}

// IdleTime returns the time since the last message was received.
func (l *Link) IdleTime() time.Duration {
	return time.Since(time.Unix(0, l.traffic.lastReceived.Load()))
}

// Tick must be called at regular intervals to measure silence. It returns the number
// of calls since the last message. A process that had no processor time for a while
// calls Tick once when it resumes, and so does not take all its peers for silent.
func (l *Link) Tick() int { return int(l.silentTicks.Add(1)) }

// Close closes the connection and waits for the link's goroutines to end. It
// must not be called from Handle, which runs on one of them. The error is
// always nil.
func (l *Link) Close() error {
	l.tomb.Kill(nil)
	_ = l.tomb.Wait() // Err returns the reason
	return nil
}

// CloseWithError closes the connection for the given reason, without waiting for the
// link's goroutines to end.
func (l *Link) CloseWithError(err error) { l.tomb.Kill(err) }

func (l *Link) read() error {
	lastRead := time.Now()
	for {
		if err := l.opts.Conn.SetReadDeadline(time.Now().Add(l.opts.ReadTimeout)); err != nil {
			return err
		}
		kind, message, err := l.opts.Conn.ReadMessage()
		if err != nil {
			return sequoialead.ErrLost.Wrap(err, "the connection failed while reading; reconnecting")
		}
		// If this process was suspended, for example, messages are read long after
		// they arrived and may have timed out at their sender. Such messages are
		// not handled, and the link is closed.
		now := time.Now()
		if now.Sub(lastRead) > l.opts.StaleAfter {
			return sequoialead.ErrLost.New("no message was received for %s; reconnecting", now.Sub(lastRead))
		}
		lastRead = now
		l.traffic.lastReceived.Store(now.UnixNano())
		l.silentTicks.Store(0)
		if kind != websocket.BinaryMessage {
			return sequoialead.ErrProtocol.New("received a message that is not binary; update the peer")
		}
		l.traffic.received.Add(uint64(len(message)))
		if err := l.handleMessage(message); err != nil {
			return err
		}
	}
}

func (l *Link) handleMessage(message []byte) error {
	frames, err := Decode(message)
	if err != nil {
		return err
	}
	for _, f := range frames {
		l.opts.Handle(l, f)
	}
	return nil
}

// Decode returns the frames of a message. The error is ErrProtocol if a frame
// is invalid or truncated.
func Decode(message []byte) ([]protocol.Frame, error) {
	var frames []protocol.Frame
	for len(message) > 0 {
		var f protocol.Frame
		rest, err := cbor.UnmarshalFirst(message, &f)
		if err != nil {
			return nil, sequoialead.ErrProtocol.Wrap(err, "a received frame cannot be read; update the peer")
		}
		frames = append(frames, f)
		message = rest
	}
	return frames, nil
}

// writeQueued writes frames until the queue is empty. The caller holds
// writeMu.
func (l *Link) writeQueued() error {
	for {
		select {
		case f := <-l.queue:
			if err := l.writeBatch(f); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

// writeBatch writes a frame and those queued after it as one message, up to
// about MaxBatchBytes.
func (l *Link) writeBatch(f protocol.Frame) error {
	for {
		if err := l.encoder.Encode(f); err != nil {
			return sequoialead.ErrProtocol.Wrap(err, "a frame cannot be encoded; report this as a bug")
		}
		if l.buffer.Len() >= MaxBatchBytes {
			return l.flush()
		}
		select {
		case f = <-l.queue:
		default:
			return l.flush()
		}
	}
}

func (l *Link) flush() error {
	if err := l.opts.Conn.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil {
		return err
	}
	l.traffic.sent.Add(uint64(l.buffer.Len()))
	err := l.opts.Conn.WriteMessage(websocket.BinaryMessage, l.buffer.Bytes())
	l.buffer.Reset()
	if err != nil {
		return sequoialead.ErrLost.Wrap(err, "the connection failed while writing; reconnecting")
	}
	return nil
}
