// Package starter starts the programs of a measurement as processes, ends exactly those, and reads what they cost.
//
// # Usage
//
//	s := starter.New(".bin", workFolder)
//	defer s.EndAll()
//	p, err := s.Start("platform", "platformsim", "--listen", "127.0.0.1:0")
//	cost, err := p.Cost()
package starter

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// ticksPerSecond is the unit of processor times in /proc, which is fixed on Linux.
const ticksPerSecond = 100

// Usage is what a process has used so far.
type Usage struct {
	CPUTime       time.Duration
	ResidentBytes int64 // resident bytes now
}

// Process is one started process.
type Process struct {
	command *exec.Cmd
	first   chan string
}

// Starter is not safe for concurrent use.
type Starter struct {
	binaries, work string
	processes      []*Process
}

// New returns a starter for programs in the folder binaries; output goes to the folder work.
func New(binaries, work string) *Starter {
	return &Starter{binaries: binaries, work: work}
}

// Start starts a program.
func (s *Starter) Start(name, program string, args ...string) (*Process, error) {
	log, err := os.Create(filepath.Join(s.work, name+".log"))
	if err != nil {
		return nil, err
	}
	command := exec.Command(filepath.Join(s.binaries, program), args...)
	command.Stderr = log
	// Entry hosts are small; with all cores of this machine the runtime spends most idle time on waking threads.
	command.Env = append(os.Environ(), "GOMAXPROCS=2")
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &Process{command: command, first: make(chan string, 1)}
	go func() {
		lines := bufio.NewScanner(output)
		for lines.Scan() {
			select {
			case p.first <- lines.Text():
			default:
			}
		}
	}()
	s.processes = append(s.processes, p)
	return p, nil
}

// KillAll ends all processes of this starter and waits for them.
func (s *Starter) KillAll() {
	for _, p := range s.processes {
		_ = p.command.Process.Signal(syscall.SIGKILL)
	}
	for _, p := range s.processes {
		_ = p.command.Wait()
	}
}

// Address returns the address that a simulator prints as its first line.
func (p *Process) Address() (string, error) {
	select {
	case line := <-p.first:
		return strings.TrimPrefix(line, "listening on "), nil
	case <-time.After(10 * time.Second):
		return "", fmt.Errorf("process %d printed no address", p.command.Process.Pid)
	}
}

// Usage reads the processor time and memory of the process.
func (p *Process) Usage() (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		return Usage{}, err
	}
	// The second field is the name in parentheses; fields are counted after it.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	user, userErr := strconv.ParseInt(fields[11], 10, 64)
	system, systemErr := strconv.ParseInt(fields[12], 10, 64)
	pages, pagesErr := strconv.ParseInt(fields[21], 10, 64)
	if userErr != nil || systemErr != nil || pagesErr != nil {
		return Usage{}, fmt.Errorf("unreadable /proc/%d/stat", p.command.Process.Pid)
	}
	return Usage{
		CPUTime:       time.Duration(user+system) * time.Second / ticksPerSecond,
		ResidentBytes: pages * int64(os.Getpagesize()),
	}, nil
}
