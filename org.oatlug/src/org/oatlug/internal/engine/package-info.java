/** Clients of upstreams and estimates of their prefill times. */
package org.oatlug.internal.engine;
