// Package design describes the HTTP interfaces of an entry in goa's language.
// Run "go tool goa gen greengageroute.example/greengageroute/design" after a
// change; the generated code under gen is committed.
package design

import (
	//revive:disable-next-line:dot-imports
	. "goa.design/goa/v3/dsl"
)

var (
	_ = API("greengageroute", func() {
		Title("greengageroute")
		Description("Serves models whose replicas span several VMs.")
		Server("entry", func() {
			Services("caller", "operator")
			Host("loopback", func() { URI("http://127.0.0.1:8080") })
		})
	})

	_ = Service("caller", func() {
		Description("Requests of applications: chat completions, calls of plain services and the outcome of actions.")

		Method("chat", func() {
			Description("Runs a chat completion; the bodies of request and response follow the usual completion format.")
			Payload(func() {
				Attribute("authorization", String, "Bearer key of the workspace.")
				Attribute("last-event-id", String, "Id of the last event received from the stream to resume.")
			})
			Result(func() {
				Attribute("content-type", String, "application/json or text/event-stream.")
				Required("content-type")
			})
			HTTP(func() {
				POST("/v1/chat/completions")
				Header("authorization:Authorization")
				Header("last-event-id:Last-Event-ID")
				SkipRequestBodyEncodeDecode()
				SkipResponseBodyEncodeDecode()
				Response(StatusOK, func() { Header("content-type:Content-Type") })
			})
		})

		Method("call", func() {
			Description("Forwards a call to a target of a plain service.")
			Payload(func() {
				Attribute("authorization", String, "Bearer key of the workspace.")
				Attribute("idempotency-key", String, "Key under which a call that must not run twice is recorded.")
				Attribute("first-attempt", Boolean, "Whether the key was never sent before. Clients that retry by themselves must leave it out.")
				Attribute("content-type", String, "Media type of the body.")
				Attribute("service", String, "Name of the service.")
				Attribute("path", String, "Path of the request at the service's target.")
				Required("service", "path")
			})
			Result(func() {
				Attribute("content-type", String, "Media type of the target's answer.")
				Required("content-type")
			})
			HTTP(func() {
				GET("/services/{service}/{*path}")
				PUT("/services/{service}/{*path}")
				POST("/services/{service}/{*path}")
				DELETE("/services/{service}/{*path}")
				Header("authorization:Authorization")
				Header("idempotency-key:Idempotency-Key")
				Header("first-attempt:Idempotency-First-Attempt")
				Header("content-type:Content-Type")
				SkipRequestBodyEncodeDecode()
				SkipResponseBodyEncodeDecode()
				Response(StatusOK, func() { Header("content-type:Content-Type") })
			})
		})

		Method("action", func() {
			Description("Returns the outcome of a call that was sent with an idempotency key.")
			Payload(func() {
				Attribute("authorization", String, "Bearer key of the workspace.")
				Attribute("key", String, "The idempotency key.")
				Required("key")
			})
			Result(ActionOutcome)
			HTTP(func() {
				GET("/actions/{key}")
				Header("authorization:Authorization")
				Response(StatusOK)
			})
		})

		Method("health", func() {
			Description("Reports to the load balancer whether the entry accepts new connections.")
			Result(HealthState)
			HTTP(func() {
				GET("/health")
				Response(StatusOK)
			})
		})
	})

	_ = Service("operator", func() {
		Description("Requests of operators: configuration files, drains, status and the audit trail.")

		Method("apply", func() {
			Description("Puts a configuration file in force as a whole.")
			Payload(func() {
				Attribute("authorization", String, "Bearer token of a team.")
				Attribute("name", String, "Name of the file.")
				Attribute("text", String, "The whole file, in YAML.")
				Attribute("base", UInt64, "Version of the file on which the new text is based; 0 for a new file.")
				Attribute("apply-id", String, "Id of this attempt; a retry with the same id gets the response of the first.")
				Attribute("every-data-centre", Boolean, "Refuse the file while any data centre is unreachable.")
				Required("name", "text", "base", "apply-id")
			})
			Result(Applied)
			HTTP(func() {
				PUT("/admin/files/{name}")
				Header("authorization:Authorization")
				Response(StatusOK)
			})
		})

		Method("file", func() {
			Description("Returns the file in force under a name.")
			Payload(func() {
				Attribute("authorization", String, "Bearer token of a team.")
				Attribute("name", String, "Name of the file.")
				Required("name")
			})
			Result(FileInForce)
			HTTP(func() {
				GET("/admin/files/{name}")
				Header("authorization:Authorization")
				Response(StatusOK)
			})
		})

		Method("check", func() {
			Description("Validates a file against the files in force without applying it.")
			Payload(func() {
				Attribute("authorization", String, "Bearer token of a team.")
				Attribute("name", String, "Name of the file.")
				Attribute("text", String, "The whole file, in YAML.")
				Required("name", "text")
			})
			Result(Checked)
			HTTP(func() {
				POST("/admin/check/{name}")
				Header("authorization:Authorization")
				Response(StatusOK)
			})
		})

		Method("status", func() {
			Description("Returns the revision in force, the known entries and the state of the groups.")
			Payload(func() { Attribute("authorization", String, "Bearer token of a team.") })
			Result(SystemStatus)
			HTTP(func() {
				GET("/admin/status")
				Header("authorization:Authorization")
				Response(StatusOK)
			})
		})

		Method("drain", func() {
			Description("Drains a VM, a group or a target of a plain service, or cancels its drain.")
			Payload(func() {
				Attribute("authorization", String, "Bearer token of a team.")
				Attribute("kind", String, "Kind of what is drained.", func() { Enum("vm", "group", "target") })
				Attribute("name", String, "Name of the VM or group, or address of the target.")
				Attribute("undo", Boolean, "Cancel the drain.")
				Required("kind", "name")
			})
			Result(Applied)
			HTTP(func() {
				POST("/admin/drains")
				Header("authorization:Authorization")
				Response(StatusOK)
			})
		})

		Method("audit", func() {
			Description("Lists the accepted changes, oldest first.")
			Payload(func() {
				Attribute("authorization", String, "Bearer token of a team.")
				Attribute("after", UInt64, "Only changes after this revision.")
			})
			Result(Trail)
			HTTP(func() {
				GET("/admin/audit")
				Param("after")
				Header("authorization:Authorization")
				Response(StatusOK)
			})
		})
	})
)

var (
	// ActionOutcome is the outcome of a call that was sent with an idempotency key.
	ActionOutcome = Type("ActionOutcome", func() {
		Attribute("outcome", String, "done, not-run or unknown.", func() { Enum("done", "not-run", "unknown") })
		Attribute("status", Int, "HTTP status of the stored answer.")
		Attribute("content-type", String, "Media type of the stored answer.")
		Attribute("answer", String, "The stored answer.")
		Attribute("ask", String, "Path at which to query the outcome while it is unknown.")
		Required("outcome")
	})

	// HealthState is the response to the load balancer's health check.
	HealthState = Type("HealthState", func() {
		Attribute("entry", String, "Name of the entry.")
		Attribute("revision", UInt64, "Configuration revision in force at this entry.")
		Required("entry", "revision")
	})

	// Applied describes an accepted change.
	Applied = Type("Applied", func() {
		Attribute("name", String, "Name of the file.")
		Attribute("version", UInt64, "New version of the file.")
		Attribute("revision", UInt64, "Configuration revision that contains this version.")
		Required("name", "version", "revision")
	})

	// FileInForce is a configuration file in force.
	FileInForce = Type("FileInForce", func() {
		Attribute("name", String, "Name of the file.")
		Attribute("text", String, "The whole file, in YAML.")
		Attribute("version", UInt64, "Version of the file.")
		Attribute("revision", UInt64, "Configuration revision that contains this version.")
		Required("name", "text", "version", "revision")
	})

	// Checked lists the faults found in a file.
	Checked = Type("Checked", func() {
		Attribute("faults", ArrayOf(String), "One line for each fault.")
		Attribute("base", UInt64, "Version of the file in force; 0 if there is none.")
		Required("faults", "base")
	})

	// SystemStatus is the state of the system as known to one entry.
	SystemStatus = Type("SystemStatus", func() {
		Attribute("entry", String, "Name of the responding entry.")
		Attribute("revision", UInt64, "Configuration revision in force at this entry.")
		Attribute("entries", ArrayOf(EntryStatus), "Entries that this entry knows.")
		Attribute("groups", ArrayOf(GroupStatus), "Groups of this entry's data centre.")
		Required("entry", "revision", "entries", "groups")
	})

	// EntryStatus is the known state of one entry.
	EntryStatus = Type("EntryStatus", func() {
		Attribute("name", String, "Name of the entry.")
		Attribute("data-centre", String, "Data centre of the entry.")
		Attribute("state", String, "alive, suspect or dead.")
		Attribute("revision", UInt64, "Highest configuration revision that the entry has reported.")
		Required("name", "data-centre", "state", "revision")
	})

	// GroupStatus is the known state of one group.
	GroupStatus = Type("GroupStatus", func() {
		Attribute("name", String, "Name of the group.")
		Attribute("model", String, "Model that the group serves.")
		Attribute("vms", ArrayOf(String), "Ids of the VMs that are members.")
		Attribute("state", String, "serving, out or draining.")
		Attribute("reason", String, "Reason why the group is not serving.")
		Required("name", "model", "vms", "state", "reason")
	})

	// Change is one line of the audit trail.
	Change = Type("Change", func() {
		Attribute("revision", UInt64, "Configuration revision of the change; 0 for a change of groups.")
		Attribute("at", String, "Time at which the change was accepted, RFC 3339.")
		Attribute("who", String, "Team or entry that made the change.")
		Attribute("subject", String, "File or group that changed.")
		Attribute("from", UInt64, "Version before.")
		Attribute("to", UInt64, "Version after.")
		Attribute("what", ArrayOf(String), "One line for each change.")
		Required("revision", "at", "who", "subject", "from", "to", "what")
	})

	// Trail is a list of changes.
	Trail = Type("Trail", func() {
		Attribute("changes", ArrayOf(Change), "Accepted changes, oldest first.")
		Required("changes")
	})
)
