// Package membership decides who leads a zone, which instances may steer
// packets, and in which order the versions of the zone table follow each other.
//
// It is a pure decision package: a Node takes events with the time and returns
// actions. The rules and the arguments behind them are in
// docs/decisions/zone-table.md. In short:
//
//   - A leader has authority while a majority of the electors has promised, for
//     a time that has not passed, not to support anyone else. A leader that has
//     lost authority never regains it in that term.
//   - A leader grants leases only to holders of its current version, and relays
//     do the same within their own lease. One lease after a version was created,
//     every member without it has certainly lapsed.
//   - The next version is created only when the current one is held by a
//     majority and every other member has acknowledged it or has lapsed.
package membership
