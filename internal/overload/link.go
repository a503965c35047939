package overload

import (
	"time"

	"guavaloom.example/guavaloom/internal/view"
)

const (
	// linkBuckets is the number of buckets over which the use of a link is measured: half a
	// second, in which an upload of the users' sizes passes.
	linkBuckets = 5
	// linkLimit is the share of the link's rate above which uploads are rejected. The rest
	// carries the uploads that are open and the small requests of a crowd.
	linkLimit = 0.75
)

// maxCountedUploads bounds the uploads over which their mean size is learned.
const maxCountedUploads = 64

// Link measures how much of its network link an instance uses. Uploads count with their mean
// size when they are admitted: their packets come later, when others were admitted too. The zero
// value has no rate and admits every flow. It is not safe for concurrent use.
type Link struct {
	// Rate is the rate of the link in bytes a second; 0 if it is unknown.
	Rate float64

	bulk, small window // bytes of full and of smaller packets
	admitted    window // uploads
	// uploads and uploadBytes are the latest uploads, the last of them at countedAt, and the bytes
	// of full packets within uploadTime after an upload.
	uploads, uploadBytes float64
	countedAt            time.Duration
}

// uploadTime is how long after the admission of an upload full packets count for the mean size.
// Without an end, the packets of open flows and of other kinds between uploads would add up
// without a bound.
const uploadTime = time.Second

// bulkPacket is the size in bytes of a packet's data from which it is taken for one of an upload.
const bulkPacket = 1000

// Use records a packet with the given bytes of headers and data.
func (l *Link) Use(now time.Duration, header, data int) {
	switch {
	case l.Rate <= 0:
	case data < bulkPacket:
		l.small.addN(now, uint32(header+data))
	default:
		l.bulk.addN(now, uint32(header+data))
		if l.uploads > 0 && now <= l.countedAt+uploadTime {
			l.uploadBytes += float64(header + data)
		}
	}
}

// Load returns the share of the rate that was used in the last half second or that the uploads
// admitted in it will use, whichever is higher.
func (l *Link) Load(now time.Duration) float64 {
	if l.Rate <= 0 {
		return 0
	}
	bulk := float64(l.bulk.sum(now, linkBuckets))
	if l.uploads > 0 {
		bulk = max(bulk, float64(l.admitted.sum(now, linkBuckets))*l.uploadBytes/l.uploads)
	}
	span := (linkBuckets * bucketWidth).Seconds()
	return (bulk + float64(l.small.sum(now, linkBuckets))) / (l.Rate * span)
}

// Admits reports whether the link has room for a new flow of the given kind.
func (l *Link) Admits(now time.Duration, k view.Kind) bool {
	return k != view.Upload || l.Load(now) <= linkLimit
}

// Count records that a new flow of the given kind was admitted.
func (l *Link) Count(now time.Duration, k view.Kind) {
	if k != view.Upload || l.Rate <= 0 {
		return
	}
	l.admitted.add(now)
	l.countedAt = now
	if l.uploads++; l.uploads >= maxCountedUploads {
		l.uploads, l.uploadBytes = l.uploads/2, l.uploadBytes/2
	}
}
