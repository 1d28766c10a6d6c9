/** Logging as JSON lines through a bounded queue that never blocks. */
package org.oatlug.internal.log;
