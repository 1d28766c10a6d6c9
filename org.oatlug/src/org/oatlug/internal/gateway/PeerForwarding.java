// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import org.oatlug.internal.forward.ForwardingProtocol;
import org.oatlug.internal.forward.Receivers;

/**
 * Holds what an instance needs to forward requests to others. Immutable; the parts are owned by one
 * event loop.
 *
 * @param receivers the instances that take forwarded requests
 * @param protocol the wire form of forwarded requests
 */
public record PeerForwarding(Receivers receivers, ForwardingProtocol protocol) {}
