/** Rate limits, admission, queues and the retry budget. */
package org.oatlug.internal.limit;
