/** Tests of the form of log lines. */
package org.oatlug.internal.log;
