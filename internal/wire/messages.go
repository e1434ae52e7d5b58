package wire

// The types named below, Heartbeat and the elements of long lists, are encoded as arrays without keys, because their size
// counts against the limit on control traffic. Their fields and the order of the fields never change; an extension needs
// a new message.
//
//msgp:tuple Heartbeat HeadFile Resident ModelDemand DecisionField PromptPart EndpointLoad ModelLoad AdapterUse CopyUse AdapterCopy ModelCopy ModelWeight StoredObject QuarantinedPart

// Role names the process that opened a connection.
type Role uint8

// The roles of processes.
const (
	RoleEntry Role = iota + 1
	RoleControl
	RoleHost
)

// Hello is the first message in each direction of a connection.
type Hello struct {
	Host        string `msg:"a"`
	Role        Role   `msg:"b"`
	Incarnation uint64 `msg:"c"` // identifies a run of the process; unique per host
	Cell        string `msg:"d"`
	Zone        string `msg:"e"` // availability zone
	KeepAlives  bool   `msg:"f"` // the sender sends keep-alives while it has nothing else to send, and answers those that ask for it
}

// KeepAlive shows that a connection works. Each side sends one while it has nothing else to send.
type KeepAlive struct {
	Answer bool `msg:"a"` // the receiver answers with one at once
}

// Heartbeat is sent once a second by every control process to every other control process of its cell.
type Heartbeat struct {
	Host        string
	Incarnation uint64
	Seq         uint64
	Revision    uint64 // configuration revision in force
	Placement   uint64 // version of the placement in use
	Epoch       uint64 // lease epoch that the sender holds, 0 if it is not the holder
	Load        uint16 // used share of the entry's request capacity, per mille
	Leaving     bool
}

// Head lists the files of one configuration revision.
type Head struct {
	Revision uint64     `json:"revision" msg:"a"`
	Author   string     `json:"author" msg:"b"`
	UnixTime int64      `json:"unixTime" msg:"c"` // seconds, for display only
	Files    []HeadFile `json:"files" msg:"d"`
}

// HeadFile is the digest of one declaration file.
type HeadFile struct {
	Name   string `json:"name"`
	Digest string `json:"digest"` // hex SHA-256 of the content
}

// File is one declaration file with its content.
type File struct {
	Name    string `json:"name" msg:"a"`
	Digest  string `json:"digest" msg:"b"`
	Content []byte `json:"content" msg:"c"`
}

// HeadRequest asks another control process for its configuration head.
type HeadRequest struct{}

// HeadReply answers a HeadRequest. The revision is 0 if the sender has no configuration.
type HeadReply struct {
	Head Head `msg:"a"`
}

// FileRequest asks another control process for files by digest.
type FileRequest struct {
	Digests []string `msg:"a"`
}

// FileReply answers a FileRequest with the files that the sender has.
type FileReply struct {
	Files []File `msg:"a"`
}

// Subscribe asks a control process to push updates to an entry process. Revision and Placement are the versions that the
// entry already has.
type Subscribe struct {
	Revision  uint64 `msg:"a"`
	Placement uint64 `msg:"b"`
}

// ConfigUpdate carries a complete configuration revision to an entry process.
type ConfigUpdate struct {
	Head  Head   `msg:"a"`
	Files []File `msg:"b"`
}

// Action is an order to an engine.
type Action uint8

// The orders to an engine.
const (
	ActionLoad Action = iota + 1
	ActionUnload
)

// Resident is a model or adapter that is in an endpoint's memory according to a report of the endpoint.
type Resident struct {
	Name    string `json:"name"`
	Adapter bool   `json:"adapter,omitempty"`
	Bytes   int64  `json:"bytes"`
}

// Intent is an order to an endpoint. It is stored before it is sent, and its memory counts as used until a report of the
// endpoint shows the outcome.
type Intent struct {
	ID      uint64 `json:"id" msg:"a"`
	Epoch   uint64 `json:"epoch" msg:"b"` // fencing token that the order carries
	Action  Action `json:"action" msg:"c"`
	Name    string `json:"name" msg:"d"`
	Adapter bool   `json:"adapter,omitempty" msg:"e"`
	Base    string `json:"base,omitempty" msg:"f"` // base model of an adapter
	Bytes   int64  `json:"bytes" msg:"g"`
}

// EndpointPlacement lists what one endpoint has in memory and the orders to it that are not resolved.
type EndpointPlacement struct {
	Endpoint    string     `json:"endpoint" msg:"a"`
	Incarnation string     `json:"incarnation,omitempty" msg:"b"` // engine process that reported the residents
	Sequence    uint64     `json:"sequence,omitempty" msg:"c"`    // sequence number of the report of the residents
	Residents   []Resident `json:"residents,omitempty" msg:"d"`
	Intents     []Intent   `json:"intents,omitempty" msg:"e"`
	Leaving     bool       `json:"leaving,omitempty" msg:"f"`
	// Generation counts the changes of the endpoint's owner. A cell may send orders to the endpoint only while the cell's
	// placement lists the endpoint with Released false.
	Generation uint64 `json:"generation,omitempty" msg:"g"`
	Released   bool   `json:"released,omitempty" msg:"h"`  // this cell gave the endpoint up at this generation, or another cell took it over
	FenceBase  uint64 `json:"fenceBase,omitempty" msg:"i"` // added to the epoch, so that fencing tokens also increase when the owner changes
}

// Placement is the content of a cell's placement object. Only the holder of the cell's lease writes it.
type Placement struct {
	Cell       string              `json:"cell" msg:"a"`
	Epoch      uint64              `json:"epoch" msg:"b"`
	Version    uint64              `json:"version" msg:"c"` // incremented by each write
	NextIntent uint64              `json:"nextIntent" msg:"d"`
	Endpoints  []EndpointPlacement `json:"endpoints" msg:"e"`
	Takeovers  uint64              `json:"takeovers,omitempty" msg:"f"` // number of writes by other cells to take over endpoints
}

// PlacementUpdate carries the cell's placement to an entry process.
type PlacementUpdate struct {
	Placement Placement `msg:"a"`
}

// Member is a live host of the cell.
type Member struct {
	Host           string `json:"host" msg:"a"`
	Zone           string `json:"zone" msg:"b"`
	Incarnation    uint64 `json:"incarnation" msg:"c"`
	ControlAddress string `json:"controlAddress" msg:"d"` // ip:port at which the control process accepts other processes
	EntryAddress   string `json:"entryAddress" msg:"e"`   // ip:port at which the entry process accepts other entries
	Leaving        bool   `json:"leaving,omitempty" msg:"f"`
	CallerAddress  string `json:"callerAddress,omitempty" msg:"g"` // ip:port at which the entry process accepts callers and forwarded requests
}

// MembersUpdate carries the live hosts of the cell to an entry process.
type MembersUpdate struct {
	Members []Member `msg:"a"`
	Holder  string   `msg:"b"` // host that holds the cell's lease, empty if unknown
}

// EndpointState is the latest known state of an endpoint.
type EndpointState struct {
	Endpoint string `msg:"a"`
	Leaving  bool   `msg:"b"` // no new work may be sent to the endpoint
	Reason   string `msg:"c"`
	Running  uint32 `msg:"d"`
	Waiting  uint32 `msg:"e"`
	AgeMs    uint32 `msg:"f"` // age of the report
}

// EndpointsUpdate carries endpoint states to an entry process.
type EndpointsUpdate struct {
	States []EndpointState `msg:"a"`
}

// ModelDemand counts the work for one model or adapter that arrived since the previous report.
type ModelDemand struct {
	Name     string
	Requests uint32
	Tokens   uint64 // prompt and generated tokens
	Refused  uint32
}

// EntryStatus is sent once a second by an entry process to the control process to which it is subscribed.
type EntryStatus struct {
	Revision uint64        `msg:"a"`
	InFlight uint32        `msg:"b"`
	Load     uint16        `msg:"c"` // per mille
	Leaving  bool          `msg:"d"`
	Demand   []ModelDemand `msg:"e"`
}

// DemandReport carries the demand at a host from its control process to the holder of the lease.
type DemandReport struct {
	Host   string        `msg:"a"`
	Demand []ModelDemand `msg:"b"`
}

// Ask asks the dispatcher to assign an endpoint to one attempt of a request.
type Ask struct {
	ID             uint64   `msg:"a"` // unique per entry process
	Caller         string   `msg:"b"`
	Rank           string   `msg:"c"`
	Model          string   `msg:"d"` // model or adapter
	PromptTokens   uint32   `msg:"e"`
	MaxTokens      uint32   `msg:"f"`
	DeadlineMs     uint32   `msg:"g"` // time left until a first token is too late for the caller
	PrefixHash     uint64   `msg:"h"` // hash of the prompt's prefix, 0 if unknown
	Exclude        []string `msg:"i"` // endpoints that must not be assigned
	Resumed        bool     `msg:"j"` // the attempt continues a stream that has started, so it is not refused for its deadline
	Preemptions    uint8    `msg:"k"` // number of times that the request has been preempted
	ChosenEndpoint string   `msg:"l"` // endpoint that the entry chose without the dispatcher, which only counts the request and sends no answer
	Request        string   `msg:"m"` // caller's request id, for the decision journal

	// The following fields are set by hosts whose dispatcher schedules by tokens and time (package sched).

	Service        string       `msg:"n"`
	Adapter        string       `msg:"o"` // name within the model, empty if the request needs none
	Priority       uint8        `msg:"p"` // numeric rank; 0 is the most urgent
	TargetMs       uint32       `msg:"q"` // time left until the first piece of the answer misses its target
	PromptParts    []PromptPart `msg:"r"` // parts of the prompt in their order
	ExpectedTokens uint32       `msg:"s"` // output tokens that the caller expects, 0 if unknown
	Retry          bool         `msg:"t"` // an earlier attempt of the request reached an endpoint
	WarmEndpoints  []string     `msg:"u"` // endpoints to which the host has an idle connection
	EndMs          uint32       `msg:"v"` // time left until the complete answer must have arrived, 0 if there is no limit
	SharedRetry    bool         `msg:"w"` // the host may not send this retry by itself; the dispatcher has to lend it

	RouteRank   uint8   `msg:"x"` // rank of the route; orders requests of the same Priority
	Account     string  `msg:"y"` // client account of the request, empty if it has none
	Cost        float64 `msg:"z"` // units of the account's quota that the request uses, 0 if it is not limited
	Charged     bool    `msg:"1"` // an attempt that may have run has used the units already
	Speculative bool    `msg:"2"` // another attempt of the request is in progress; grant only a slot that nothing else needs
}

// PromptPart is a part of a prompt that several requests may have in common.
type PromptPart struct {
	ID     uint64
	Tokens uint32
}

// Queued informs the sender of an Ask that the request waits in the dispatcher's queue.
type Queued struct {
	ID uint64 `msg:"a"`
}

// Grant assigns an endpoint to a request and reserves a slot there until Done or Cancel.
type Grant struct {
	ID        uint64 `msg:"a"`
	Endpoint  string `msg:"b"`
	Prepare   bool   `msg:"c"` // the request's adapter must be loaded first
	Holder    string `msg:"h"` // host that sends orders to endpoints; set with Prepare
	UsedSlots uint16 `msg:"d"` // used slots of the endpoint before this grant
	Waiting   uint16 `msg:"e"` // queued requests for the same model
	QueueMs   uint32 `msg:"f"` // time that the request spent in the queue
	FirstMs   uint32 `msg:"g"` // predicted time to the first piece of the answer
	// Evict is the adapter to unload if all adapter slots of the endpoint are used. It is set with Prepare, and empty if
	// the dispatcher knows of a free adapter slot.
	Evict ModelAdapter `msg:"i"`
	// Keep lists the adapters that the dispatcher expects to remain loaded at the endpoint, so they must not be evicted. It
	// is set with Prepare.
	Keep []ModelAdapter `msg:"j"`
}

// ModelAdapter names an adapter of a model.
type ModelAdapter struct {
	Model   string
	Adapter string
}

// Refuse is the final answer to an Ask for a request that can't be served in time.
type Refuse struct {
	ID           uint64 `msg:"a"`
	Reason       string `msg:"b"`
	RetryAfterMs uint32 `msg:"c"`
	OverLimit    bool   `msg:"d"` // the request exceeds the quota of its account
}

// Done reports the end of an attempt and releases the slot of the granted request.
type Done struct {
	ID           uint64 `msg:"a"`
	Endpoint     string `msg:"b"`
	Outcome      uint8  `msg:"c"` // attempt.Outcome
	Tokens       uint32 `msg:"d"`
	FirstMs      uint32 `msg:"e"` // time to first token
	TotalMs      uint32 `msg:"f"`
	Failed       bool   `msg:"g"` // the endpoint failed; the failure counts towards its ejection
	Fault        uint8  `msg:"h"` // kind of the failure, a sched.Fault; 0 if there was none
	Missing      bool   `msg:"i"` // the endpoint has not loaded the request's model or adapter
	Resends      uint8  `msg:"j"` // number of times that the request was sent to the endpoint again while the adapter was being loaded
	RetryAfterMs uint32 `msg:"k"` // time for which the endpoint wants no requests from the sending host
	Events       uint32 `msg:"l"` // number of a stream's events that arrived in the attempt
	StreamMs     uint32 `msg:"m"` // time from the first event to the last one
	// ConnectionLost is true if the endpoint closed or reset the connection after it may have received the request, and the
	// answer was not complete.
	ConnectionLost bool `msg:"n"`
}

// EndpointLeaves reports that an endpoint announced in an answer that it is leaving. The list of endpoints may show this
// later, or never.
type EndpointLeaves struct {
	Endpoint    string `msg:"a"`
	StartUnixMs int64  `msg:"b"` // start of the endpoint's process in Unix milliseconds
}

// EndpointLimit reports how many requests per second an endpoint takes from all hosts together, by one of its answers.
type EndpointLimit struct {
	Endpoint string  `msg:"a"`
	PerSec   float64 `msg:"b"`
	Ended    bool    `msg:"c"` // it stated none any more, in the answer to a request that was sent after it had a limit
}

// Started reports that the first piece of a granted request's answer has arrived.
type Started struct {
	ID      uint64 `msg:"a"`
	FirstMs uint32 `msg:"b"` // time from sending the request to the first piece
}

// EndpointLoad is the load of one endpoint by granted requests.
type EndpointLoad struct {
	Endpoint  string
	UsedSlots uint16 // slots of granted requests
	Down      bool   // gets no requests, because earlier ones failed there
}

// ModelLoad is the demand for one model that the dispatcher has observed.
type ModelLoad struct {
	Service        string
	Model          string
	Running        uint16
	Waiting        uint16
	ArrivalsPerSec float32 // rate at which requests arrive
	MeanHoldSec    float32 // mean time for which a request occupies its slot
	Copies         []CopyUse
}

// ModelWeight is the number of an endpoint's slots that a request for a model counts as, by the resource that the endpoint
// runs out of first: slots, time to process prompts, or memory for tokens.
type ModelWeight struct {
	Service         string
	Model           string
	SlotsPerRequest float32
}

// CopyUse is the number of granted requests for a model at an endpoint.
type CopyUse struct {
	Endpoint string
	Running  uint16
}

// FleetState is sent several times a second by the dispatcher to all hosts.
type FleetState struct {
	Endpoints   []EndpointLoad `msg:"a"` // included only in some of the messages
	Models      []ModelLoad    `msg:"b"`
	Holder      string         `msg:"c"` // host that holds the placement lease, empty if no holder has reported recently
	Epoch       uint64         `msg:"d"`
	Hosts       uint16         `msg:"e"` // number of connected hosts
	LeaseVacant bool           `msg:"g"` // the last holder released the lease and no new holder has reported
	ViewCurrent bool           `msg:"f"` // the dispatcher follows the platform's store, itself or through relays, and forwards changes
	Views       []ViewSummary  `msg:"h"` // summaries of the dispatcher's objects, if ViewCurrent
	// StoreLoads are the recent loads from the weight store that a holder of the placement lease last reported. They are
	// sent only to the present holder. StoreLoadsKnown is false if no holder has reported to the dispatcher.
	StoreLoads      []StoreLoads `msg:"i"`
	StoreLoadsKnown bool         `msg:"j"`
	Relays          []string     `msg:"k"` // hosts that follow the store on behalf of a dispatcher that can't reach it
	// Leaving are the endpoints that are still listed but have announced in an answer that they are leaving.
	Leaving []EndpointLeaves `msg:"l"`
	// Weights are those of Models. A model that is not listed has 1 slot per request.
	Weights []ModelWeight `msg:"m"`
	// Serving is true if the dispatcher's own host uses it. Otherwise Successor is the dispatcher that this host uses, if
	// any, and SuccessorServes is true if that one reports that its own host uses it.
	Serving         bool     `msg:"n"`
	Successor       *HostRef `msg:"o"`
	SuccessorServes bool     `msg:"p"`
	// Quarantine lists the prompt parts that are suspected or blocked, in messages with QuarantineListed.
	Quarantine       []QuarantinedPart `msg:"q"`
	QuarantineListed bool              `msg:"r"`
	// Limits lists the limits of endpoints, in messages with LimitsListed.
	Limits       []EndpointLimit `msg:"s"`
	LimitsListed bool            `msg:"t"`
}

// QuarantinedPart is a prompt part that is suspected to crash engines, or blocked because it does.
type QuarantinedPart struct {
	Part         uint64
	TrialCrashes uint8  // engines that crashed under a trial of the part
	Blocks       uint8  // number of blocks so far
	BlockedMs    uint32 // time until the block ends, 0 if the part is only suspected
	ExpiresMs    uint32 // time until the part is forgotten
}

// HostRef identifies a process of a host and its address for other hosts.
type HostRef struct {
	Name        string `msg:"a"`
	Address     string `msg:"b"`
	Incarnation uint64 `msg:"c"`
	MilliCores  uint32 `msg:"d"` // processor time of the host, in thousandths of a core
}

// StoreLoads lists the recent orders to endpoints of a service that load a model from the weight store.
type StoreLoads struct {
	Service string
	AgesMs  []uint32 // time since each order
}

// HolderBeat is sent regularly by the holder of the placement lease to the dispatcher.
type HolderBeat struct {
	Host      string      `msg:"a"`
	Epoch     uint64      `msg:"b"`
	Unloading []ModelCopy `msg:"c"` // copies that get no new requests: about to be unloaded, or unloaded but still listed
	Loaded    []ModelCopy `msg:"d"` // loaded copies that the list of endpoints does not show yet
	// Busy are the endpoints that accept no order for an adapter, because they carry out an order for a model or because
	// the holder does not know their state.
	Busy          []string `msg:"e"`
	LeaseReleased bool     `msg:"f"` // the holder has released the lease
	// Evicted are the adapters that were unloaded recently. An adapter that has been loaded again since may be included.
	Evicted []AdapterCopy `msg:"g"`
	// StoreLoads are the recent loads that count against the weight store's rate limit. The dispatcher passes them to the
	// next holder.
	StoreLoads []StoreLoads `msg:"h"`
}

// AdapterCopy is an adapter at an endpoint.
type AdapterCopy struct {
	Endpoint string
	Model    string
	Adapter  string
}

// ModelCopy is a copy of a model at an endpoint.
type ModelCopy struct {
	Endpoint string
	Model    string
}

// Prepare asks the holder of the placement lease to load an adapter.
type Prepare struct {
	Endpoint string `msg:"a"`
	Model    string `msg:"b"`
	Adapter  string `msg:"c"`
	Missing  bool   `msg:"d"` // the endpoint answered that it has not loaded the adapter
	// Evict and Keep are copied from the request's Grant.
	Evict ModelAdapter   `msg:"e"`
	Keep  []ModelAdapter `msg:"f"`
}

// PrepareReply answers a Prepare.
type PrepareReply struct {
	OK     bool   `msg:"a"`
	WaitMs uint32 `msg:"b"` // time until the adapter can be used
	Reason string `msg:"c"` // reason for a refusal, empty if OK
}

// ViewRequest asks a host for its copies of the platform's objects while the store can't be read.
type ViewRequest struct{}

// StoredObject is an object of the platform's store.
type StoredObject struct {
	Kind    string
	Name    string
	Version string
	Data    []byte
}

// ViewReply answers a ViewRequest with all objects that the host has.
type ViewReply struct {
	Objects []StoredObject `msg:"a"`
}

// Cancel withdraws an Ask or releases a grant that was not used.
type Cancel struct {
	ID uint64 `msg:"a"`
}

// Preempt asks the entry to stop a granted request and to send an Ask for it again, so that more urgent work gets its
// slot.
type Preempt struct {
	ID uint64 `msg:"a"`
}

// Running is a granted request in a Resync.
type Running struct {
	Ask      Ask    `msg:"a"`
	Endpoint string `msg:"b"`
}

// Resync lists the waiting and the granted requests of an entry for a new dispatcher.
type Resync struct {
	Waiting []Ask     `msg:"a"`
	Running []Running `msg:"b"`
	// Quarantine lists the suspected and blocked prompt parts that the host knows of.
	Quarantine []QuarantinedPart `msg:"c"`
	Limits     []EndpointLimit   `msg:"d"` // of endpoints, as far as the host knows
}

// ClaimRequest claims an idempotency key for one attempt before the attempt is sent.
type ClaimRequest struct {
	Caller      string `msg:"a"`
	Key         string `msg:"b"`
	Attempt     string `msg:"c"` // unique id of the attempt
	Fingerprint uint64 `msg:"d"` // hash of method, path and body
}

// ClaimState is the answer to a ClaimRequest.
type ClaimState uint8

// The answers to a ClaimRequest.
const (
	ClaimGranted     ClaimState = iota + 1
	ClaimTaken                  // another attempt has claimed the key
	ClaimMismatch               // the key was used for a different request
	ClaimUnavailable            // the claim could not be stored, so the request is not run
)

// ClaimReply answers a ClaimRequest.
type ClaimReply struct {
	State        ClaimState `msg:"a"`
	Outcome      uint8      `msg:"b"` // attempt.Outcome recorded for the key, if ClaimTaken; with ClaimUnavailable, NotSent if nothing was stored
	Status       uint16     `msg:"c"`
	RetryAfterMs uint32     `msg:"d"`
}

// ClaimResult records how a claimed attempt ended. A result that proves that the request was not run releases the key.
type ClaimResult struct {
	Caller  string `msg:"a"`
	Key     string `msg:"b"`
	Attempt string `msg:"c"`
	Outcome uint8  `msg:"d"`
	Status  uint16 `msg:"e"`
}

// Ack confirms a message that has no other reply.
type Ack struct{}

// Inquiry asks a process for its recent decisions and for the state of endpoints on behalf of an operator. A control
// process also asks the entries that are subscribed to it. Without an operator's request no process sends an Inquiry.
type Inquiry struct {
	Subject string `msg:"a"` // request id, model or endpoint whose decisions are requested, empty for none
	Reports bool   `msg:"b"` // requests the latest reports of endpoints, which only the holder of the lease has
}

// InquiryReply answers an Inquiry.
type InquiryReply struct {
	Decisions []Decision      `msg:"a"`
	Reports   []EndpointState `msg:"b"`
	Missing   []string        `msg:"c"` // processes that did not answer in time
}

// Decision is an entry of a process's decision journal.
type Decision struct {
	UnixMicro int64           `msg:"a"` // wall clock of the process, for display only
	Part      string          `msg:"b"`
	Subject   string          `msg:"c"`
	Decision  string          `msg:"d"`
	Reason    string          `msg:"e"`
	Fields    []DecisionField `msg:"f"` // ordered by name
}

// DecisionField is an additional fact about a decision. A list of them replaces a map, which the protocol does not allow.
type DecisionField struct {
	Name  string
	Value string
}

// ModelCells lists the cells that serve a model or adapter.
type ModelCells struct {
	Model string   `msg:"a"`
	Cells []string `msg:"b"`
}

// CellMembers lists the hosts of a cell.
type CellMembers struct {
	Cell    string   `msg:"a"`
	Members []Member `msg:"b"`
}

// DirectoryUpdate carries the models and hosts of the other cells to an entry process. It leaves out the entry's own
// cell and the models that no other cell serves.
type DirectoryUpdate struct {
	Models []ModelCells  `msg:"a"`
	Cells  []CellMembers `msg:"b"`
}

// ViewUpdate forwards objects of the platform's store to a host that does not follow the store itself.
type ViewUpdate struct {
	ObjectKind string         `msg:"a"` // kind of all objects in the message
	Objects    []StoredObject `msg:"b"`
	Removed    []string       `msg:"c"` // names of removed objects
	Complete   bool           `msg:"d"` // Names lists all objects of the kind, and Objects those that the host lacks
	Names      []string       `msg:"e"`
	Patches    []ObjectPatch  `msg:"f"`
	Fetch      bool           `msg:"g"` // the change is too long to forward, so the host reads the kind from the store
	RemovedAt  []uint64       `msg:"h"` // for each of Removed a position of the store at which it was gone, 0 if not known
	Position   uint64         `msg:"i"` // of a complete update: the sender knows all changes up to here, 0 if not known
}

// ObjectPatch is a change of an object's data: it replaces the bytes between an unchanged prefix and suffix.
type ObjectPatch struct {
	Name    string
	From    string // version to which the patch applies
	Version string // version that results
	Prefix  uint32 // length in bytes of the unchanged start
	Suffix  uint32 // length in bytes of the unchanged end
	Middle  []byte // new bytes in between
	// Edits replace Middle if there are any. They make the bytes in between from the old ones, in their order; what is left of
	// the old ones after the last edit is kept.
	Edits []PatchEdit
}

// PatchEdit keeps and then replaces a part of an object's old bytes.
type PatchEdit struct {
	Keep   uint32 // old bytes that are kept
	Skip   uint32 // old bytes that follow and are dropped
	Insert []byte // new bytes in their place
}

// ViewSummary identifies the set of objects of a kind that a host has, so that two hosts can compare theirs.
type ViewSummary struct {
	Of     string // kind of the objects
	Newest uint64 // highest version
	Digest uint64 // digest of the names and versions
	// Position is the highest position of the store up to which the host knows all changes of the kind.
	Position uint64
}

// RelayBeat is sent several times a second by a host that follows the store on behalf of a dispatcher that can't reach it.
type RelayBeat struct {
	ViewCurrent bool          `msg:"a"` // the host reaches the store
	Views       []ViewSummary `msg:"b"` // summaries of the host's objects
}

// ViewAsk asks for the objects of a kind that the sender lacks. Hosts send it to the dispatcher, and the dispatcher sends
// it to a host that follows the store on its behalf.
type ViewAsk struct {
	ObjectKind string `msg:"a"` // kind of the objects
	Newest     uint64 `msg:"b"` // highest version that the sender has
}
