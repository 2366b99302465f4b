package operator_test

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbctl/commander"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"rhubarbctl": func() {
			os.Exit(commander.Run(context.Background(), commander.System(), os.Args[1:], os.Getenv))
		},
	})
}

type fixtureKey struct{}

// Guards against incompatible changes of rhubarbctl and the server. The scripts run rhubarbctl against a server in this
// process. They control its store with the command store and check exit codes with the command exits.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			f := newFixture(t)
			env.Values[fixtureKey{}] = f
			env.Setenv("RHUBARBTRACK_ADDRESS", f.url)
			env.Setenv("RHUBARBTRACK_TOKEN", "ana configure")
			return os.WriteFile(filepath.Join(env.WorkDir, "routine.sh"), routine(t), 0o600)
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"store": storeCommand,
			"exits": exitsCommand,
		},
	})
}

// routine returns the script of the weekly routine, which is the first shell example in docs/rpc.md.
func routine(t *testing.T) []byte {
	page, err := os.ReadFile("../../../docs/rpc.md")
	assert.NilError(t, err)
	_, rest, found := strings.Cut(string(page), "```sh\n")
	assert.Assert(t, found)
	script, _, found := strings.Cut(rest, "```")
	assert.Assert(t, found)
	return []byte(script)
}

// storeCommand sets the state of the store ("up" or "down") or the fault of its next write ("lose-response" or
// "lose-request").
func storeCommand(ts *testscript.TestScript, _ bool, args []string) {
	f := ts.Value(fixtureKey{}).(*fixture)
	if len(args) != 1 {
		ts.Fatalf("usage: store up|down|lose-response|lose-request")
	}
	f.store.mutex.Lock()
	defer f.store.mutex.Unlock()
	switch args[0] {
	case "up":
		f.store.down = false
	case "down":
		f.store.down = true
	case "lose-response":
		f.store.nextFault = loseResponse
	case "lose-request":
		f.store.nextFault = loseRequest
	default:
		ts.Fatalf("unknown state %q", args[0])
	}
}

// exitsCommand runs a command and compares its exit code: "exits 5 rhubarbctl status".
func exitsCommand(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: exits CODE COMMAND...")
	}
	err := ts.Exec(args[1], args[2:]...)
	code := "0"
	if err != nil {
		code = exitCode(err)
	}
	if code != args[0] {
		ts.Fatalf("got exit code %s, want %s: %v", code, args[0], err)
	}
}

func exitCode(err error) string {
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return strconv.Itoa(exit.ExitCode())
	}
	return err.Error()
}

func post(t *testing.T, f *fixture, path, body string) (status int, result map[string]any) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.url+path, strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer ana configure")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	decoded := map[string]any{}
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&decoded))
	return response.StatusCode, decoded
}

// Calls with JSON bodies, as in the curl example of docs/rpc.md, must work.
func TestCurlExample(t *testing.T) {
	f := newFixture(t)
	createObjects(t, f)
	_, body := post(t, f, "/rhubarbtrack.v1.OperatorService/GetOwner", `{"service":"shelf-marks","key":"QA76.73"}`)
	assert.Assert(t, body["owner"] != nil, "%v", body)
	status, rejection := post(t, f, "/rhubarbtrack.v1.OperatorService/DrainUpstream",
		`{"name":"shelf-marks.p1","drained":true,"expectedVersion":"1","operationId":"drain-1"}`)
	assert.Equal(t, status, http.StatusConflict)
	assert.Equal(t, rejection["code"], "aborted")
	assert.Equal(t, rejection["message"], "conflict: expected version 1, current version 14")
}
