mod admission;
mod health;
mod journal;
mod retry;
mod route;
mod share;
