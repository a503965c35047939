package overload

import "time"

const (
	// repeatWindow is how long after a rejection a new flow of the client's address counts
	// as a repeated attempt.
	repeatWindow = 2 * time.Second
	// clientSets and clientWays give the size of the table: 4,096 addresses, 64 KB. A burst
	// of more rejections in two seconds than that overwrites the oldest ones.
	clientSets = 1024
	clientWays = 4
)

// Clients holds the addresses of clients that were rejected within the last two seconds.
type Clients struct {
	sets [clientSets][clientWays]rejectedClient
}

type rejectedClient struct {
	addr [4]byte
	// until is the end of the repeat window; 0 in an unused entry.
	until time.Duration
}

func (c *Clients) set(addr [4]byte) *[clientWays]rejectedClient {
	h := uint32(addr[0])<<24 | uint32(addr[1])<<16 | uint32(addr[2])<<8 | uint32(addr[3])
	h *= 0x9E3779B1 // multiplicative hash; neighbouring addresses go to different sets
	return &c.sets[h>>22]
}

// Reject records that a flow of the address was rejected.
func (c *Clients) Reject(now time.Duration, addr [4]byte) {
	set := c.set(addr)
	oldest := &set[0]
	for i := range set {
		if set[i].addr == addr {
			oldest = &set[i]
			break
		}
		if set[i].until < oldest.until {
			oldest = &set[i]
		}
	}
	*oldest = rejectedClient{addr, now + repeatWindow}
}

// Rejected reports whether a flow of the address was rejected within the last two seconds.
func (c *Clients) Rejected(now time.Duration, addr [4]byte) bool {
	set := c.set(addr)
	for i := range set {
		if set[i].addr == addr && now <= set[i].until && set[i].until > 0 {
			return true
		}
	}
	return false
}
