/** The framed protocol between instances. */
package org.oatlug.internal.peer;
