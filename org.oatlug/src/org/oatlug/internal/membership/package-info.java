/** Which instances are live, by probes and suspicion. */
package org.oatlug.internal.membership;
