package soak

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// An instance represents one process of the product.
type instance struct {
	name    string
	host    int
	control bool
	folder  string
	program string
	// write renders the settings; found is true at the very first start.
	write func(found bool) error

	// busy is held by the fault that strikes the process.
	busy sync.Mutex

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	starts  int
	started time.Time
	// wanted is true while the process has no reason to end.
	wanted bool
	// unasked are ends and failures that the soak did not bring about.
	unasked []string
}

func (i *instance) settingsFile() string { return filepath.Join(i.folder, "settings.toml") }
func (i *instance) dataFolder() string   { return filepath.Join(i.folder, "data") }
func (i *instance) logFile() string      { return filepath.Join(i.folder, "log") }

// start starts the process with settings of the moment.
func (i *instance) start() error {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if err := i.write(i.starts == 0); err != nil {
		return err
	}
	log, err := os.OpenFile(i.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(i.program, "serve", "--settings", i.settingsFile())
	c.Stdout, c.Stderr = log, log
	// The instances end with the soak also if that is killed.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return fmt.Errorf("start %s: %w", i.name, err)
	}
	i.command, i.ended, i.wanted = c, make(chan struct{}), true
	i.starts++
	i.started = time.Now()
	w := &waiting{instance: i, command: c, ended: i.ended}
	go w.run()
	return nil
}

// A waiting notes the end of a process.
type waiting struct {
	instance *instance
	command  *exec.Cmd
	ended    chan struct{}
}

func (w *waiting) run() {
	err := w.command.Wait()
	w.instance.mutex.Lock()
	defer w.instance.mutex.Unlock()
	if w.instance.wanted && w.instance.command == w.command {
		w.instance.unasked = append(w.instance.unasked, fmt.Sprintf("%s ended by itself %v after its start: %v", w.instance.name, time.Since(w.instance.started).Round(time.Millisecond), err))
	}
	close(w.ended)
}

// signal sends a signal to the process, if it runs.
func (i *instance) signal(s syscall.Signal) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.command == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		i.wanted = false
	}
	if err := i.command.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		i.unasked = append(i.unasked, fmt.Sprintf("%s could not be signalled: %v", i.name, err))
	}
}

// kill ends the process at once and returns when it is gone.
func (i *instance) kill() {
	i.signal(syscall.SIGKILL)
	<-i.end()
}

// end returns the channel that closes with the present process.
func (i *instance) end() <-chan struct{} {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.ended
}

// incarnation returns the number of the present start.
func (i *instance) incarnation() int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.starts
}

// ownEnds returns the ends that nobody asked for.
func (i *instance) ownEnds() []string {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return append([]string(nil), i.unasked...)
}

// tear appends part of a record to the log of a stopped instance, as a write
// that a crash interrupted leaves it.
func (i *instance) tear() error {
	file, err := os.OpenFile(filepath.Join(i.dataFolder(), "log"), os.O_APPEND|os.O_WRONLY, 0o600)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	defer file.Close()
	_, err = file.Write([]byte{120, 0, 0, 0, 7, 7})
	return err
}

// lose removes what the instance has stored.
func (i *instance) lose() error { return os.RemoveAll(i.dataFolder()) }
