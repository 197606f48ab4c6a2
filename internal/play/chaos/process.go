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

// process is one daemon process. Signals are sent to its process ID, not to a
// process group.
type process struct {
	name     string
	role     string
	settings string // path of the settings file
	dir      string // data folder; empty if the VM has no disk
	log      *os.File
	command  []string
	other    []string // command of another release, which every second start runs; nil for none
	starts   int

	restartMu sync.Mutex // held from a stop to the following start

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func (c *process) start() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	command := c.command
	if c.starts%2 == 1 && c.other != nil {
		command = c.other
	}
	c.starts++
	cmd := exec.Command(command[0], append(append([]string(nil), command[1:]...), c.role)...) //nolint:gosec,noctx // our own program; it is stopped by signals
	cmd.Env = append(os.Environ(), "SLATEROCK_CONFIG="+c.settings)
	cmd.Stdout, cmd.Stderr = c.log, c.log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	c.cmd, c.done = cmd, done
	go func() {
		_ = cmd.Wait() // an unexpected exit shows in the results of callers
		close(done)
	}()
	return nil
}

func (c *process) signal(s syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cmd != nil && c.cmd.Process != nil {
		_ = c.cmd.Process.Signal(s) // fails if the process has exited already
	}
}

// stop sends the signal and waits until the process has exited. After grace it
// kills the process.
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

// appendTornWrite appends an incomplete record to the newest segment, which
// simulates a write that was interrupted by a power failure.
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
	f, err := os.OpenFile(newest, os.O_APPEND|os.O_WRONLY, 0) //nolint:gosec // a file of our own process
	if err != nil {
		return
	}
	defer func() { _ = f.Close() }()
	_, _ = f.Write([]byte{200, 0, 0, 0, 1, 2, 3, 4, 5})
}
