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
		Description("What applications call: chat completions, plain services and the outcome of actions.")

		Method("chat", func() {
			Description("Runs a chat completion; the body and the answer follow the usual completion format.")
			Payload(func() {
				Attribute("authorization", String, "Bearer key of the workspace.")
				Attribute("last-event-id", String, "Id of the last event received of a stream that is to be resumed.")
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
			Description("Passes a call on to a target of a plain service.")
			Payload(func() {
				Attribute("authorization", String, "Bearer key of the workspace.")
				Attribute("idempotency-key", String, "Key under which a call that may not be repeated is recorded.")
				Attribute("content-type", String, "Media type of the body.")
				Attribute("service", String, "Name of the service.")
				Attribute("path", String, "Path at the service's target.")
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
				Header("content-type:Content-Type")
				SkipRequestBodyEncodeDecode()
				SkipResponseBodyEncodeDecode()
				Response(StatusOK, func() { Header("content-type:Content-Type") })
			})
		})

		Method("action", func() {
			Description("Tells the outcome of a call that was sent with an idempotency key.")
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
			Description("Tells the balancer whether the entry takes new connections.")
			Result(HealthState)
			HTTP(func() {
				GET("/health")
				Response(StatusOK)
			})
		})
	})

	_ = Service("operator", func() {
		Description("What operators call: configuration files, drains, status and the audit trail.")

		Method("apply", func() {
			Description("Puts a configuration file in force as a whole.")
			Payload(func() {
				Attribute("authorization", String, "Bearer token of a team.")
				Attribute("name", String, "Name of the file.")
				Attribute("text", String, "The whole file, in YAML.")
				Attribute("base", UInt64, "Version of the file on which the new text is based; 0 for a new file.")
				Attribute("apply-id", String, "Id of this attempt; the same id sent again is answered as the first time.")
				Attribute("every-data-centre", Boolean, "Refuse unless every data centre has been heard from.")
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
			Description("Gives the file in force under a name.")
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
			Description("Checks a file against the set in force without applying it.")
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
			Description("Tells what is in force, which entries are known, and which groups serve.")
			Payload(func() { Attribute("authorization", String, "Bearer token of a team.") })
			Result(SystemStatus)
			HTTP(func() {
				GET("/admin/status")
				Header("authorization:Authorization")
				Response(StatusOK)
			})
		})

		Method("drain", func() {
			Description("Marks a VM, a group or a target of a plain service as leaving, or takes the mark back.")
			Payload(func() {
				Attribute("authorization", String, "Bearer token of a team.")
				Attribute("kind", String, "What is drained.", func() { Enum("vm", "group", "target") })
				Attribute("name", String, "Name of the VM or group, or address of the target.")
				Attribute("undo", Boolean, "Take the mark back.")
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
			Description("Lists the changes that were accepted, oldest first.")
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
	// ActionOutcome is what a caller is told of its action.
	ActionOutcome = Type("ActionOutcome", func() {
		Attribute("outcome", String, "done, not-run or unknown.", func() { Enum("done", "not-run", "unknown") })
		Attribute("status", Int, "HTTP status of the stored answer.")
		Attribute("content-type", String, "Media type of the stored answer.")
		Attribute("answer", String, "The stored answer.")
		Attribute("ask", String, "Where to ask again while the outcome is unknown.")
		Required("outcome")
	})

	// HealthState is the state shown to the balancer.
	HealthState = Type("HealthState", func() {
		Attribute("entry", String, "Name of the entry.")
		Attribute("revision", UInt64, "Configuration revision in force here.")
		Required("entry", "revision")
	})

	// Applied describes an accepted change.
	Applied = Type("Applied", func() {
		Attribute("name", String, "Name of the file.")
		Attribute("version", UInt64, "New version of the file.")
		Attribute("revision", UInt64, "Configuration revision that carries it.")
		Required("name", "version", "revision")
	})

	// FileInForce is a configuration file in force.
	FileInForce = Type("FileInForce", func() {
		Attribute("name", String, "Name of the file.")
		Attribute("text", String, "The whole file, in YAML.")
		Attribute("version", UInt64, "Version of the file.")
		Attribute("revision", UInt64, "Configuration revision that carries it.")
		Required("name", "text", "version", "revision")
	})

	// Checked lists the faults found in a file.
	Checked = Type("Checked", func() {
		Attribute("faults", ArrayOf(String), "One line for each fault.")
		Attribute("base", UInt64, "Version of the file in force; 0 if there is none.")
		Required("faults", "base")
	})

	// SystemStatus is the state of the system as one entry sees it.
	SystemStatus = Type("SystemStatus", func() {
		Attribute("entry", String, "Name of the entry that answers.")
		Attribute("revision", UInt64, "Configuration revision in force here.")
		Attribute("entries", ArrayOf(EntryStatus), "Entries known here.")
		Attribute("groups", ArrayOf(GroupStatus), "Groups of this entry's data centre.")
		Required("entry", "revision", "entries", "groups")
	})

	// EntryStatus is what is known of one entry.
	EntryStatus = Type("EntryStatus", func() {
		Attribute("name", String, "Name of the entry.")
		Attribute("data-centre", String, "Its data centre.")
		Attribute("state", String, "alive, suspect or dead.")
		Attribute("revision", UInt64, "Highest configuration revision heard from it.")
		Required("name", "data-centre", "state", "revision")
	})

	// GroupStatus is what is known of one group.
	GroupStatus = Type("GroupStatus", func() {
		Attribute("name", String, "Name of the group.")
		Attribute("model", String, "Model that it serves.")
		Attribute("vms", ArrayOf(String), "Its members.")
		Attribute("state", String, "serving, out or draining.")
		Attribute("reason", String, "Why it does not serve.")
		Required("name", "model", "vms", "state", "reason")
	})

	// Change is one line of the audit trail.
	Change = Type("Change", func() {
		Attribute("revision", UInt64, "Configuration revision of the change; 0 for a change of groups.")
		Attribute("at", String, "When it was accepted, RFC 3339.")
		Attribute("who", String, "Who asked for it.")
		Attribute("subject", String, "The file or group.")
		Attribute("from", UInt64, "Version before.")
		Attribute("to", UInt64, "Version after.")
		Attribute("what", ArrayOf(String), "What changed.")
		Required("revision", "at", "who", "subject", "from", "to", "what")
	})

	// Trail is a list of changes.
	Trail = Type("Trail", func() {
		Attribute("changes", ArrayOf(Change), "Oldest first.")
		Required("changes")
	})
)
