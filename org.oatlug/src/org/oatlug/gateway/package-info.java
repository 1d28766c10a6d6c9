/**
 * Types of the gateway that serves routed services, the second interface to callers and upstreams.
 *
 * <p>Requests are routed by host and path prefix. An adapter translates between the wire forms of
 * requests, responses and stored objects in a deployment and the types of this package.
 */
package org.oatlug.gateway;
