package chaos

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// child is one process of the system. It is started, stopped, paused and killed
// by its own id, and nothing else is.
type process struct {
	name     string
	role     string
	settings string // path
	dir      string // data folder of a VM with a disk
	log      *os.File
	command  []string

	restartMu sync.Mutex // held from an end to the start that follows

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func (c *process) start() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	cmd := exec.Command(c.command[0], append(append([]string(nil), c.command[1:]...), c.role)...) //nolint:gosec,noctx // our own program; it is ended by signals
	cmd.Env = append(os.Environ(), "SLATEROCK_CONFIG="+c.settings)
	cmd.Stdout, cmd.Stderr = c.log, c.log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	c.cmd, c.done = cmd, done
	go func() {
		_ = cmd.Wait() // its exit is seen by what callers see
		close(done)
	}()
	return nil
}

func (c *process) signal(s syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cmd != nil && c.cmd.Process != nil {
		_ = c.cmd.Process.Signal(s) // it may have ended by itself
	}
}

// end sends the signal and waits until the process is gone, by force after grace.
func (c *process) stop(s syscall.Signal, grace time.Duration) {
	c.signal(s)
	c.mu.Lock()
	done := c.done
	c.mu.Unlock()
	select {
	case <-done:
		return
	case <-time.After(grace):
	}
	c.signal(syscall.SIGCONT)
	c.signal(syscall.SIGKILL)
	<-done
}

// tear adds bytes to the newest segment, as a write that the power's loss cut.
func (c *process) appendTornWrite() {
	names, err := filepath.Glob(filepath.Join(c.dir, "*.seg"))
	if err != nil || len(names) == 0 {
		return
	}
	newest, number := "", -1
	for _, name := range names {
		var n int
		if _, err := fmt.Sscanf(filepath.Base(name), "%d.seg", &n); err == nil && n > number {
			newest, number = name, n
		}
	}
	f, err := os.OpenFile(newest, os.O_APPEND|os.O_WRONLY, 0) //nolint:gosec // a file of our own child
	if err != nil {
		return
	}
	defer func() { _ = f.Close() }()
	_, _ = f.Write([]byte{200, 0, 0, 0, 1, 2, 3, 4, 5})
}
