/** Failure detection between instances by probes and suspicion. */
package org.oatlug.internal.membership;
