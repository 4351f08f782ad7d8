// Package fakes holds fakes of the systems around the router, for tests, benchmarks and
// demonstrations:
//
//   - Engine, an LLM inference engine with the chat-completions API and load metrics, and Service, a
//     plain HTTP service. Both are HTTP handlers.
//   - VMList, the platform's VM list, an HTTP handler.
//   - RecordStore, Codec and Dialect, which implement the interfaces of package router in memory. Package
//     mock holds a fake of the platform's metadata store over HTTP.
//   - ScriptedServer, an upstream for tests that sends prepared answers byte for byte.
//
// An Injector injects faults into the HTTP handlers: a POST of Faults as JSON to ControlPath
// replaces the faults in force. The HTTP handlers count or record what they execute, so that a test
// can compare it with what the router reports. Command hbstand serves one of them per process.
package fakes
