// SPDX-License-Identifier: Apache-2.0

package link

// part is a part of a frame of drpc.
type part uint8

// Parts of a frame, in their order: a byte with the kind and whether the frame is the last one of its message, three
// numbers of variable length, and as many bytes as the last of them says.
const (
	partControl part = iota
	partStream
	partMessage
	partLength
	partData
)

const (
	// frameDone is the bit of the control byte of the last frame of a message.
	frameDone = 1
	// moreBytes is the bit of the bytes of a number that others follow, numberBits the number of its other bits.
	moreBytes  = 0x80
	numberBits = 7
)

// frames follows the frames of drpc on a connection.
type frames struct {
	// size is the number of bytes that have arrived of a message that is not whole yet.
	size int64
	part part
	done bool
	// left is the number of bytes of the data that have not arrived, shift that of the bits of it read so far.
	left  uint64
	shift uint
}

// add follows the next bytes of the connection.
func (f *frames) add(p []byte) {
	for len(p) > 0 {
		if f.part == partData {
			n := min(f.left, uint64(len(p)))
			f.size += int64(n)
			f.left -= n
			p = p[n:]
			f.endData()
			continue
		}
		f.size++
		f.addByte(p[0])
		p = p[1:]
		f.endData()
	}
}

// addByte follows a byte before the data of a frame.
func (f *frames) addByte(b byte) {
	switch f.part {
	case partControl:
		f.done = b&frameDone != 0
		f.left, f.shift = 0, 0
		f.part++
		return
	case partLength:
		f.left |= uint64(b&^moreBytes) << f.shift
		f.shift += numberBits
	}
	if b&moreBytes == 0 {
		f.part++
	}
}

// endData ends a frame whose data have arrived.
func (f *frames) endData() {
	if f.part != partData || f.left > 0 {
		return
	}
	f.part = partControl
	if f.done {
		f.size = 0
	}
}
