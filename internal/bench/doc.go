// Package bench measures how the CPU time, memory and traffic of a node grow with
// the load and with the size of the deployment. Each Series varies one size, such
// as the number of open streams, peers or workspaces, and fits a straight line: its
// slope is the cost of one more.
//
// RequestPath measures the path of a request. It starts a node and a simulated
// engine as processes and compares requests through the node with direct ones in
// the same run. ControlPlane and PeerTransport measure the work besides requests
// with the packages themselves, in this process, in memory or over loopback.
package bench
