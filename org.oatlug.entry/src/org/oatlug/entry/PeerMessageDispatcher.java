// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.entry;

import io.smallrye.mutiny.Uni;
import org.oatlug.internal.billing.BillingSystem;
import org.oatlug.internal.gather.StateExchange;
import org.oatlug.internal.ledger.Ledger;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.peer.PeerHandler;
import org.oatlug.internal.peer.PeerMessage;
import org.oatlug.internal.rollout.RolloutGuard;
import org.oatlug.internal.table.Tables;

/**
 * Dispatches peer messages about requests and roll-outs to the systems that handle them. Used from
 * one event loop.
 *
 * @param tables the tables, with the catalogue and the upstreams
 * @param ledger receives ledger entries
 * @param billing receives bills
 * @param guard receives roll-out evidence
 * @param exchange receives the demand of workspaces; handles all other messages
 */
record PeerMessageDispatcher(
    Tables tables, Ledger ledger, BillingSystem billing, RolloutGuard guard, StateExchange exchange)
    implements PeerHandler {

  @Override
  public Uni<PeerMessage> handle(Member from, PeerMessage message) {
    if (message instanceof PeerMessage.Submit submit) {
      return ledger.handleSubmit(submit);
    }
    return Uni.createFrom().item(handleSynchronously(from, message));
  }

  private PeerMessage handleSynchronously(Member from, PeerMessage message) {
    if (message instanceof PeerMessage.HoldBill || message instanceof PeerMessage.DropBills) {
      return billing.handle(message);
    }
    if (message instanceof PeerMessage.VersionQuery query) {
      String kind = query.key().kind();
      return new PeerMessage.VersionAnswer(tables.catalogue().revisionOf(kind, query.key().name()));
    }
    if (message instanceof PeerMessage.UpstreamLeaving leaving) {
      tables.upstreams().row(leaving.upstream()).markLeaving();
      return new PeerMessage.Done();
    }
    if (message instanceof PeerMessage.GuardEvidence evidence) {
      guard.handle(from, evidence);
      return new PeerMessage.Done();
    }
    return exchange.handle(from, message);
  }
}
