package swim

import (
	"testing"
	"time"
)

// FuzzPacket decodes arbitrary bytes, as a faulty peer or one of another version
// might send. Decoding must give an error or a packet that Step accepts, and
// nothing may panic.
func FuzzPacket(f *testing.F) {
	whole := Packet{
		From: "10.0.0.1:7410", Round: 7, Ack: 3, Full: true, Age: time.Second, Head: 5,
		Call: StoreCall{Name: "d1", Incarnation: 1, Serial: 8},
		News: []Member{{
			Name: "d1", Address: "10.0.0.1:7400", Peer: "10.0.0.1:7410", FailureDomain: "a", State: Alive,
			Incarnation: 1, Serial: 2, Config: 5, Shards: []Shard{{Shard: 3, Epoch: 9}},
		}},
	}
	for _, p := range []Packet{{}, whole} {
		data, err := p.MarshalBinary()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0xff})
	f.Fuzz(func(_ *testing.T, data []byte) {
		var p Packet
		if p.UnmarshalBinary(data) != nil {
			return
		}
		now := time.Unix(1_800_000_000, 0)
		b := Membership{RandomSeed: 1}
		b.Step(now, Self{Member: Member{Name: "d0", Address: "10.0.0.9:7400", Peer: "10.0.0.9:7410", State: Alive, Incarnation: 1}})
		b.Step(now, p)
		b.Step(now.Add(Interval), Tick{})
		b.Members()
	})
}
