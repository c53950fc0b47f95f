package event

import "strconv"

var names = map[Number]string{
	JobAccepted: "JobAccepted", JobResubmitted: "JobResubmitted", JobAnswered: "JobAnswered",
	JobRefused: "JobRefused", JobCancelled: "JobCancelled", JobRecovered: "JobRecovered",
	AnswerDelivered: "AnswerDelivered", JobForwarded: "JobForwarded",

	TaskAsked: "TaskAsked", TaskSent: "TaskSent", TaskStarted: "TaskStarted", TaskRefused: "TaskRefused",
	TaskEnded: "TaskEnded", TaskLost: "TaskLost", TaskRetried: "TaskRetried", OutcomeReceived: "OutcomeReceived",
	OutcomeDiscarded: "OutcomeDiscarded", TaskStopped: "TaskStopped", TaskBlamed: "TaskBlamed",
	RunsMoved: "RunsMoved",

	SlotGranted: "SlotGranted", SlotReturned: "SlotReturned", SlotReleased: "SlotReleased",
	AskRefused: "AskRefused", BackendEjected: "BackendEjected", BackendProbed: "BackendProbed",
	BackendRestored: "BackendRestored", AllocatorStarted: "AllocatorStarted",

	ProcessStarted: "ProcessStarted", ProcessStopped: "ProcessStopped", ProcessDraining: "ProcessDraining",
	BackendAnnounced: "BackendAnnounced", BackendLeaving: "BackendLeaving", BackendLost: "BackendLost",
	AgentConnected: "AgentConnected", AgentLost: "AgentLost", AgentRegistered: "AgentRegistered",
	EntryConnected: "EntryConnected", EntryLost: "EntryLost", EntryRegistered: "EntryRegistered",
	HomeChosen: "HomeChosen", BackendSilent: "BackendSilent", ConnectionLost: "ConnectionLost",

	TakeoverStarted: "TakeoverStarted", ShardFenced: "ShardFenced", TakeoverCompleted: "TakeoverCompleted",
	TakeoverIncomplete: "TakeoverIncomplete", OwnerSuperseded: "OwnerSuperseded", HandoverSent: "HandoverSent",
	HandoverReceived: "HandoverReceived",

	EditAccepted: "EditAccepted", EditRefused: "EditRefused", TablesAdopted: "TablesAdopted",
	PlatformFailed: "PlatformFailed", PlatformRestored: "PlatformRestored",
	DataCentreEvacuated: "DataCentreEvacuated", EvacuationTakenBack: "EvacuationTakenBack",
	WatcherChanged: "WatcherChanged", RouteNotFound: "RouteNotFound",

	ConnectionsClosed: "ConnectionsClosed", BodiesRefused: "BodiesRefused",
}

// String returns the name of the kind of event, or the number in decimal if it is unknown.
func (n Number) String() string {
	if name, ok := names[n]; ok {
		return name
	}
	return strconv.Itoa(int(n))
}
