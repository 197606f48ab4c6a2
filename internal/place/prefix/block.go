package prefix

func (x *Index) program(name string) *program {
	if x.programs == nil {
		x.programs = map[string]*program{}
	}
	p := x.programs[name]
	if p == nil {
		p = &program{}
		x.programs[name] = p
	}
	return p
}

func (x *Index) block(hash uint64) *block {
	if x.blocks == nil {
		x.blocks = map[uint64]*block{}
	}
	b := x.blocks[hash]
	if b == nil {
		b = &block{}
		x.blocks[hash] = b
	}
	return b
}

// track returns the block. If the index does not have it, no program of this
// owner uses it, and it is added to a ring of maxTracked blocks: unbounded, the
// cache events of a large fleet would fill the memory of every daemon.
func (x *Index) track(hash uint64) *block {
	if b := x.blocks[hash]; b != nil {
		return b
	}
	if len(x.tracked) < maxTracked {
		x.tracked = append(x.tracked, hash)
		return x.block(hash)
	}
	old := x.tracked[x.trackedNext]
	if b := x.blocks[old]; b != nil && b.users == 0 {
		delete(x.blocks, old)
	}
	x.tracked[x.trackedNext] = hash
	x.trackedNext = (x.trackedNext + 1) % maxTracked
	return x.block(hash)
}

func (x *Index) unref(chain []uint64) {
	for _, h := range chain {
		b := x.blocks[h]
		b.users--
		if b.users == 0 {
			x.retire(h, b)
		}
	}
}

// retire moves a block that no program of this owner uses any more to the
// tracked ones if cache events reported it: an engine may hold it for programs
// of other owners, and the next program here may begin with it.
func (x *Index) retire(hash uint64, b *block) {
	kept := b.holders[:0]
	for _, h := range b.holders {
		if h.reported {
			h.placed = false
			kept = append(kept, h)
		}
	}
	b.holders = kept
	delete(x.blocks, hash)
	if len(kept) > 0 {
		x.track(hash).holders = kept
	}
}

func (b *block) hold(n holder) {
	for i, h := range b.holders {
		if h.engine == n.engine {
			n.placed = n.placed || h.placed
			n.reported = n.reported || h.reported
			b.holders[i] = n
			return
		}
	}
	b.holders = append(b.holders, n)
}

func (b *block) evict(e uint16) {
	for i, h := range b.holders {
		if h.engine == e {
			last := len(b.holders) - 1
			b.holders[i] = b.holders[last]
			b.holders = b.holders[:last]
			return
		}
	}
}

func contains(list []int, e int) bool {
	for _, v := range list {
		if v == e {
			return true
		}
	}
	return false
}
