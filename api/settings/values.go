package settings

import "github.com/radishstand/radishstand/api/contract"

// Values holds the settings of one service at one place after inheritance. The tags of each field specify its default,
// range and unit. The validation, the JSON Schema and the operators' reference are generated from them.
type Values struct {
	Match     Match     `json:"match" doc:"How calls are matched to the service."`
	Call      Call      `json:"call" doc:"Limits of one call."`
	Admission Admission `json:"admission" doc:"Admission at the node beside a backend server."`
	Balance   Balance   `json:"balance" doc:"Choice among the backend servers of a service."`
	Retry     Retry     `json:"retry" doc:"Retries and hedging."`
	Ejection  Ejection  `json:"ejection" doc:"Outlier ejection at the choosing node."`
	Measure   Measure   `json:"measure" doc:"Budget and path for measuring a backend server."`
	Drain     Drain     `json:"drain" doc:"Leaving and stopping."`
	Ledger    Ledger    `json:"ledger" doc:"Idempotency ledger."`
}

// Match selects the calls of the service. A call whose first Host label or Radish-Service header is the name of the
// service always matches.
type Match struct {
	Hosts        []string `json:"hosts" pattern:"^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$" doc:"Host names in lower case, without port."`
	PathPrefixes []string `json:"pathPrefixes" pattern:"^/" doc:"Path prefixes that end at a path segment; the longest one wins."`
}

// Call configures the limits and the priority class of a call.
type Call struct {
	TimeoutMs         int         `json:"timeoutMs" default:"2000" min:"1" max:"600000" unit:"ms" doc:"Longest time for a call; a caller may ask for less."`
	MaxBodyBytes      int         `json:"maxBodyBytes" default:"1048576" min:"0" max:"16777216" unit:"bytes" doc:"Largest request body."`
	HoldBytes         int         `json:"holdBytes" default:"262144" min:"0" max:"16777216" unit:"bytes" doc:"Answers up to this size are held until they are complete."`
	IdempotentMethods []string    `json:"idempotentMethods" default:"[\"GET\",\"HEAD\",\"OPTIONS\"]" pattern:"^[A-Z]+$" doc:"Methods that may be repeated."`
	Class             string      `json:"class" default:"normal" enum:"check,critical,normal,deferrable" doc:"Priority class of calls that no rule names."`
	Rules             []ClassRule `json:"rules" doc:"Priority class by method and path; the first rule that fits decides."`
	NotRunStatus      int         `json:"notRunStatus" default:"0" min:"0" max:"599" doc:"Status by which a backend server proves, together with notRunHeader, that it refused a call before running it; 0 for none."`
	NotRunHeader      string      `json:"notRunHeader" default:"" doc:"Header that must accompany notRunStatus with the value not-run."`
}

// ClassRule assigns a priority class to the calls with a method and path prefix.
type ClassRule struct {
	Method     string         `json:"method" pattern:"^[A-Z]*$" doc:"Method, or empty for all."`
	PathPrefix string         `json:"pathPrefix" pattern:"^(/.*)?$" doc:"Path prefix, or empty for all."`
	Class      contract.Class `json:"class" enum:"check,critical,normal,deferrable" required:"true" doc:"Priority class."`
}

// Admission configures the queue in front of a backend server.
type Admission struct {
	QueueLength     int      `json:"queueLength" default:"96" min:"0" max:"10000" unit:"calls" doc:"Longest queue at a server, all classes together."`
	MaxQueueMs      int      `json:"maxQueueMs" default:"1000" min:"0" max:"60000" unit:"ms" doc:"Longest time in the queue."`
	Order           []string `json:"order" default:"[\"check\",\"critical\",\"normal\",\"deferrable\"]" doc:"Priority classes, highest first; a class that is not listed ranks last."`
	DeferrableShare float64  `json:"deferrableShare" default:"0.05" min:"0" max:"0.5" doc:"Share of admissions kept for the lowest waiting class, and of the queue kept for each class."`
	ReferMarginMs   int      `json:"referMarginMs" default:"2" min:"0" max:"1000" unit:"ms" doc:"A call is referred to a faster sibling server when the expected wait is longer than this; 0 never refers."`
}

// Balance configures the choice among the backend servers of a service.
type Balance struct {
	SpillMs     float64 `json:"spillMs" default:"0" min:"0" max:"1000" unit:"ms" doc:"Advantage of servers of the same place over those of other places, beyond the time on the network."`
	SlowStartMs int     `json:"slowStartMs" default:"5000" min:"0" max:"600000" unit:"ms" doc:"Time over which a new server's share of calls rises."`
	MaxServers  int     `json:"maxServers" default:"8" min:"0" max:"10000" unit:"servers" doc:"Most servers of the service that a node sends calls to, three quarters of them in its own place where there are as many; 0 sets no limit. Each takes a connection to the server's node."`
	ReportMs    float64 `json:"reportMs" default:"2" min:"0" max:"1000" unit:"ms" doc:"Shortest time between two load reports of a server to the same node; 0 reports with every answer."`
}

// Retry configures retries and hedging.
type Retry struct {
	MaxPerCall      int     `json:"maxPerCall" default:"2" min:"0" max:"10" unit:"attempts" doc:"Most extra attempts of a call and all calls below it."`
	BudgetRatio     float64 `json:"budgetRatio" default:"0.1" min:"0" max:"1" doc:"Extra attempts as a share of the first attempts of a service at a node."`
	BudgetMinPerSec float64 `json:"budgetMinPerSec" default:"5" min:"0" max:"1000" unit:"1/s" doc:"Extra attempts that are always allowed."`
	HedgePercentile float64 `json:"hedgePercentile" default:"0.95" min:"0" max:"1" doc:"Idempotent calls at a stalled server are hedged after this percentile of recent latencies; 0 or 1 never hedges."`
	HedgeMinMs      int     `json:"hedgeMinMs" default:"5" min:"0" max:"60000" unit:"ms" doc:"Shortest time before a hedge."`
}

// Ejection configures outlier ejection.
type Ejection struct {
	ConsecutiveErrors int     `json:"consecutiveErrors" default:"5" min:"1" max:"1000" unit:"errors" doc:"Errors in a row after which a server is ejected."`
	BaseMs            int     `json:"baseMs" default:"1000" min:"10" max:"600000" unit:"ms" doc:"First ejection time; doubles on each repeat."`
	MaxShare          float64 `json:"maxShare" default:"0.5" min:"0" max:"0.9" doc:"Largest share of a service's servers ejected at a time."`
}

// Measure configures the budget and the path for measuring a backend server.
type Measure struct {
	PerSecond      float64 `json:"perSecond" default:"1" min:"0" max:"100" unit:"1/s" doc:"Requests that measure a backend server."`
	BytesPerSecond int     `json:"bytesPerSecond" default:"1024" min:"0" max:"1048576" unit:"bytes/s" doc:"Bytes of requests and answers that measure a backend server."`
	HealthPath     string  `json:"healthPath" default:"/health" pattern:"^(/.*)?$" doc:"Path of the server's health endpoint; empty for none."`
}

// Drain configures the renewal of announcements by backend servers and the stop of a node.
type Drain struct {
	RenewWithinMs int `json:"renewWithinMs" default:"3000" min:"100" max:"600000" unit:"ms" doc:"Time within which a backend server repeats its announcement."`
	MaxMs         int `json:"maxMs" default:"30000" min:"0" max:"3600000" unit:"ms" doc:"Longest wait for calls in progress when a node stops."`
}

// Ledger configures the idempotency ledger.
type Ledger struct {
	RetentionS     int `json:"retentionS" default:"86400" min:"60" max:"604800" unit:"s" doc:"Time that an idempotency key is remembered."`
	MaxAnswerBytes int `json:"maxAnswerBytes" default:"16384" min:"0" max:"262144" unit:"bytes" doc:"Largest answer that is recorded for replay."`
}
