package follower_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/platform/simulator"
	"rhubarbtrack.example/platform/storer"
	"rhubarbtrack.example/platform/translator"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
	"rhubarbtrack.example/rhubarbtrackd/internal/timer"
)

// Guards against keys that stay valid without end because another account of the version that takes them away cannot be decoded, and
// against a key in the log or in what passes to other hosts.
func TestAccountThatCannotBeDecodedKeepsNoKeys(t *testing.T) {
	core, logs := observer.New(zapcore.DebugLevel)
	store := simulator.NewStore()
	put := func(version int, damage bool, accounts ...simulator.Account) {
		configuration := simulator.ConfigurationWithAccounts(version, accounts...)
		if damage {
			configuration["tenants"].([]any)[1].(map[string]any)["priority"] = "high"
		}
		assert.NilError(t, store.Put(translator.ConfigurationKind, translator.ConfigurationName, configuration, nil))
	}
	put(3, false, simulator.Account{Name: "a", Keys: []string{"secret-1", "secret-2"}}, simulator.Account{Name: "b", Keys: []string{"secret-3"}})
	server := httptest.NewServer(store)
	t.Cleanup(server.CloseClientConnections)
	f := follower.New(follower.Options{
		Store: storer.New(strings.TrimPrefix(server.URL, "http://")), Log: eventlog.New(zap.New(core)), Now: timer.Now,
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.Run(ctx)
	eventually(t, "the configuration was not read", func() bool { return version(f) == 3 })
	put(4, true, simulator.Account{Name: "a", Keys: []string{"secret-2"}}, simulator.Account{Name: "b", Keys: []string{"secret-3"}})
	eventually(t, "the new version was not applied", func() bool { return version(f) == 4 })
	accounts := f.Snapshot().Config.Accounts
	assert.Equal(t, len(accounts), 1)
	assert.Equal(t, accounts[0].Name, "a")
	assert.Equal(t, len(accounts[0].Keys), 1, "the key that was taken away must not be valid")
	eventually(t, "the keys were not removed", func() bool { return f.Configuration() != nil })
	assert.Assert(t, !strings.Contains(string(f.Configuration()), "secret"))
	skipped := logs.FilterMessage("accounts-skipped").All()
	assert.Equal(t, len(skipped), 1)
	assert.Equal(t, skipped[0].ContextMap()["reason"], "tenants[1]: priority must not be a string")
	for _, entry := range logs.All() {
		assert.Assert(t, !strings.Contains(fmt.Sprint(entry.Message, entry.ContextMap()), "secret"))
	}
}
