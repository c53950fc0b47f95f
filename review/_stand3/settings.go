package main

import (
	"fmt"
	"os"
	"strings"
)

// settings are the settings of a process, as DEPLOY.md shows them, with the figures of the small deployments.
type settings struct {
	name, role, class, zone, ip, app string
	front, ready, control            string
	seeds                            []string
	store                            string
	cpuShare                         float64
	memoryMB, maxFDs                 int
}

const settingsText = `node_name = %q
role = %q
machine_class = %q
serves = [%s]
ip = %q
zone = %q
region = "region"
internal_ports = [%d,%d]
seeds = [%s]
bootstrap = true
loss_counts = false
discovery = "local"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "call"
%s
[zones]
zone-1 = "region"
zone-2 = "region"
zone-3 = "region"

[listen]
%s
[limits]
cpu_share = %v
cores = 1
memory_mb = %d
max_fds = %d
link_mbps = 1000.0
disk_mb = 0

[fault_tolerance]
machines = 1
zones = 0
regions = 0

[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
recovery_s = 12
hold_max_ms = 1000
stop_ms = 50
gang_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
require_fencing = true
lease_ms = 3000
thaw_slack_ms = 300
resend_ms = 1300

[platform]
address = %q
form = "table"
writes_per_s = 800
reads_per_s = 2000
row_bytes = 65536
across = false
history_s = 20
`

func (s settings) save(path string) error {
	serves, app, listen := `"side"`, fmt.Sprintf("app = %q\nservice = %q\n", s.app, poolName), fmt.Sprintf("control = %q\n", s.control)
	if s.app == "" {
		serves, app = `"front","control"`, ""
		listen = fmt.Sprintf("front = %q\nready = %q\ncontrol = %q\n", s.front, s.ready, s.control)
	}
	var seeds []string
	for _, host := range s.seeds {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", host, announcePort)))
	}
	text := fmt.Sprintf(settingsText, s.name, s.role, s.class, serves, s.ip, s.zone, innerPort, innerPort+9,
		strings.Join(seeds, ","), app, listen, s.cpuShare, s.memoryMB, s.maxFDs, s.store)
	return os.WriteFile(path, []byte(text), 0o600)
}
