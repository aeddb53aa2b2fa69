package recorder

import (
	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"
)

// maxBatch is the maximum number of entries that share one sync.
const maxBatch = 512

// Committer appends entries from many goroutines to a journal with shared syncs.
type Committer struct {
	journal *Journal
	queue   chan pendingCommit
	tomb    tomb.Tomb
}

type pendingCommit struct {
	payload []byte
	done    chan error
}

// NewCommitter returns a committer that must be started.
func NewCommitter(journal *Journal) *Committer {
	return &Committer{journal: journal, queue: make(chan pendingCommit, maxBatch)}
}

// Start starts the writer goroutine.
func (c *Committer) Start() {
	c.tomb.Go(c.loop)
}

// Stop writes all queued entries, stops the writer goroutine and closes the journal.
func (c *Committer) Stop() error {
	c.tomb.Kill(nil)
	if err := c.tomb.Wait(); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(c.journal.Close())
}

// Rewrite atomically replaces all entries with the given payloads; it must be called before Start.
func (c *Committer) Rewrite(payloads ...[]byte) error {
	return c.journal.Rewrite(payloads...)
}

// Commit appends the payload and returns once it is durable, or returns the error of the write.
func (c *Committer) Commit(payload []byte) error {
	e := pendingCommit{payload: payload, done: make(chan error, 1)}
	select {
	case c.queue <- e:
	case <-c.tomb.Dying():
		return trace.ConnectionProblem(nil, "the journal is closed")
	}
	select {
	case err := <-e.done:
		return err
	case <-c.tomb.Dead():
		return trace.ConnectionProblem(nil, "the journal closed before the entry was durable")
	}
}

func (c *Committer) loop() error {
	for {
		select {
		case first := <-c.queue:
			c.writeBatch(first)
		case <-c.tomb.Dying():
			c.writeQueued()
			return nil
		}
	}
}

func (c *Committer) writeQueued() {
	for {
		select {
		case first := <-c.queue:
			c.writeBatch(first)
		default:
			return
		}
	}
}

// writeBatch writes the first entry and the entries queued behind it with one sync.
func (c *Committer) writeBatch(first pendingCommit) {
	batch := []pendingCommit{first}
	for len(batch) < maxBatch {
		select {
		case e := <-c.queue:
			batch = append(batch, e)
			continue
		default:
		}
		break
	}
	payloads := make([][]byte, len(batch))
	for i, e := range batch {
		payloads[i] = e.payload
	}
	err := c.journal.Append(payloads...)
	for _, e := range batch {
		e.done <- err
	}
}
