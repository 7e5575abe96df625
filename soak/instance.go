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

// An instance represents an entry or control instance, which is one process at a
// time.
type instance struct {
	name    string
	host    int
	control bool
	folder  string
	program string
	// writeSettings writes the settings file. bootstrap is true at the first
	// start and becomes the setting "found".
	writeSettings func(bootstrap bool) error

	// busy is held by the fault that stops, pauses or restarts the process.
	busy sync.Mutex

	mutex   sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	starts  int
	started time.Time
	// expectRunning is true until a signal is sent that ends the process.
	expectRunning bool
	// unexpected describes exits and signal errors that the faults did not cause.
	unexpected []string
}

func (i *instance) settingsFile() string { return filepath.Join(i.folder, "settings.toml") }
func (i *instance) dataFolder() string   { return filepath.Join(i.folder, "data") }
func (i *instance) logFile() string      { return filepath.Join(i.folder, "log") }

// start writes the settings and starts the process.
func (i *instance) start() error {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if err := i.writeSettings(i.starts == 0); err != nil {
		return err
	}
	log, err := os.OpenFile(i.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(i.program, "serve", "--settings", i.settingsFile())
	c.Stdout, c.Stderr = log, log
	// The instances end with this process, also if it is killed.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return fmt.Errorf("start %s: %w", i.name, err)
	}
	i.command, i.exited, i.expectRunning = c, make(chan struct{}), true
	i.starts++
	i.started = time.Now()
	w := &exitWatcher{instance: i, command: c, exited: i.exited}
	go w.run()
	return nil
}

// An exitWatcher waits for the exit of a process and records it.
type exitWatcher struct {
	instance *instance
	command  *exec.Cmd
	exited   chan struct{}
}

func (w *exitWatcher) run() {
	err := w.command.Wait()
	w.instance.mutex.Lock()
	defer w.instance.mutex.Unlock()
	if w.instance.expectRunning && w.instance.command == w.command {
		w.instance.unexpected = append(w.instance.unexpected, fmt.Sprintf("%s exited by itself %v after its start: %v", w.instance.name, time.Since(w.instance.started).Round(time.Millisecond), err))
	}
	close(w.exited)
}

// signal sends a signal to the process if one was started.
func (i *instance) signal(s syscall.Signal) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.command == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		i.expectRunning = false
	}
	if err := i.command.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		i.unexpected = append(i.unexpected, fmt.Sprintf("signal %s: %v", i.name, err))
	}
}

// kill sends SIGKILL and returns when the process has exited.
func (i *instance) kill() {
	i.signal(syscall.SIGKILL)
	<-i.done()
}

// done returns the channel that is closed when the current process exits. It is
// nil before the first start.
func (i *instance) done() <-chan struct{} {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.exited
}

// incarnation returns the number of starts so far.
func (i *instance) incarnation() int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.starts
}

// unexpectedExits returns the exits and signal errors that the faults did not cause.
func (i *instance) unexpectedExits() []string {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return append([]string(nil), i.unexpected...)
}

// tearLog appends part of a record to the log of a stopped instance, as a crash
// during a write leaves it.
func (i *instance) tearLog() error {
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

// removeData removes the data folder of the instance.
func (i *instance) removeData() error { return os.RemoveAll(i.dataFolder()) }
