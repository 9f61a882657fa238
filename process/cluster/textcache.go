package cluster

import (
	"hash/fnv"
	"sync"
)

const (
	// maxTextBytes bounds the memory of the texts that an entry keeps.
	maxTextBytes = 8 << 20
	// textEntryBytes is that of a text without its bytes.
	textEntryBytes = 160
)

// textCache holds the texts of the jobs that were submitted last through this entry, so that
// the scheduler needn't send them back with the commands to start their tasks.
type textCache struct {
	mu    sync.Mutex
	texts map[string]string
	// order holds the jobs, oldest first; bytes is the memory of all texts.
	order []string
	bytes int
}

func newTextCache() textCache { return textCache{texts: make(map[string]string)} }

// put keeps the text of a job, in place of an earlier one, and drops the oldest texts beyond
// maxTextBytes.
func (c *textCache) put(job, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old, known := c.texts[job]
	if !known {
		c.order = append(c.order, job)
		c.bytes += textEntryBytes
	}
	c.texts[job] = text
	c.bytes += len(text) - len(old)
	for c.bytes > maxTextBytes && len(c.order) > 1 {
		oldest := c.order[0]
		c.order = c.order[1:]
		c.bytes -= len(c.texts[oldest]) + textEntryBytes
		delete(c.texts, oldest)
	}
}

// get returns the text of a job if it is the one with the given hash.
func (c *textCache) get(job string, hash uint64) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	text, ok := c.texts[job]
	return text, ok && hashText(text) == hash
}

// hashText returns the FNV-1a hash of a text.
func hashText(text string) uint64 {
	h := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}
